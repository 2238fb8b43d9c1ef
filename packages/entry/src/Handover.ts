import { CallError, shardOf, sleep } from '@marjorammast/protocol';
import type { JobState, Params, Result, ShardClaim } from '@marjorammast/protocol';
import type { Log, Timeline } from '@marjorammast/telemetry';
import type { Job } from './Job';

/** What the handover of shards needs of the entry. */
export type HandoverHost = {
  name: string;
  ownerOf: (shard: number) => string;
  epochOf: (shard: number) => number;
  /** Sends jobs, or the final claims, to their new owner. */
  sendAdopt: (owner: string, params: Params<'adopt'>) => Promise<Result<'adopt'>>;
  /** True when this entry owns the shard. */
  isOwned: (shard: number) => boolean;
  refresh: () => Promise<unknown>;
  adoptJob: (state: JobState) => void;
  markComplete: (claims: ShardClaim[]) => void;
  log: Log;
  timeline: Timeline;
};

/** Jobs handed to another entry in one message. */
const JOBS_PER_MESSAGE = 50;

const MAX_SEND_ATTEMPTS = 20;

/** Pause between two tries to hand over, in milliseconds. */
const SEND_RETRY_MS = 100;

const shardOfState = ({ id }: JobState): number => shardOf(id);

/** Passes jobs from one owner to the next, so that a planned change loses nothing. */
export class Handover {
  /** Settles when the newest handover has ended. */
  ended: Promise<unknown> = Promise.resolve();

  private constructor(private readonly host: HandoverHost) {}

  /**
   * @param host - what the handover needs of the entry
   * @returns the handover
   */
  static create(host: HandoverHost): Handover {
    return new Handover(host);
  }

  /**
   * Gives jobs to the present owners of their shards.
   *
   * @param shards - shards that this entry has lost
   * @param jobs - their jobs, which this entry has released
   * @param completeShards - shards of which this entry knows every start
   */
  send(shards: readonly number[], jobs: readonly Job[], completeShards: readonly number[]): void {
    const { host } = this;
    const owners = [...new Set(shards.map((shard) => host.ownerOf(shard)))].filter(
      (owner) => owner !== '' && owner !== host.name,
    );
    this.ended = Promise.all(
      owners.map((owner) => {
        const claims = completeShards
          .filter((shard) => host.ownerOf(shard) === owner)
          .map((shard) => ({ shard, epoch: host.epochOf(shard) }));
        const owned = jobs.filter((job) => host.ownerOf(job.shard) === owner);
        return this.sendTo(owner, claims, owned);
      }),
    );
  }

  /**
   * Takes jobs from their earlier owner.
   *
   * @param params - the jobs, and the shards of which nothing is missing
   * @returns whether they were taken
   */
  async receive({ claims, jobs }: Params<'adopt'>): Promise<Result<'adopt'>> {
    const shards = [...claims.map(({ shard }) => shard), ...jobs.map(shardOfState)];
    if (!shards.every(this.host.isOwned)) await this.host.refresh();
    if (!shards.every(this.host.isOwned)) return { accepted: false };
    jobs.forEach(this.host.adoptJob);
    this.host.markComplete(claims);
    return { accepted: true };
  }

  private async sendTo(owner: string, claims: ShardClaim[], jobs: readonly Job[]): Promise<void> {
    const states = jobs.map((job) => job.exportState());
    const { name, log, timeline } = this.host;
    try {
      for (let start = 0; start < states.length; start += JOBS_PER_MESSAGE) {
        const batch = states.slice(start, start + JOBS_PER_MESSAGE);
        await this.sendUntilAccepted(owner, { from: name, claims: [], jobs: batch });
      }
      // Only the last message vouches that nothing is missing.
      await this.sendUntilAccepted(owner, { from: name, claims, jobs: [] });
      timeline.record('handedOver', { to: owner, jobs: states.length });
    } catch {
      log.warn({ to: owner, jobs: states.length }, 'handover_failed');
    }
  }

  private async sendUntilAccepted(owner: string, params: Params<'adopt'>): Promise<void> {
    for (let attempt = 0; attempt < MAX_SEND_ATTEMPTS; attempt += 1) {
      try {
        const { accepted } = await this.host.sendAdopt(owner, params);
        if (accepted) return;
      } catch (error) {
        if (!(error instanceof CallError)) throw error;
      }
      await sleep(SEND_RETRY_MS);
    }
    throw CallError.create('lost', `${owner} did not adopt`);
  }
}
