import { CallError, shardOf, sleep } from '@marjorammast/protocol';
import type { JobState, Params, Result, ShardClaim } from '@marjorammast/protocol';
import type { Log, Timeline } from '@marjorammast/telemetry';
import type { Job } from './Job';

/** Dependencies of the handover. */
export type HandoverHost = {
  name: string;
  ownerOf: (shard: number) => string;
  epochOf: (shard: number) => number;
  /** Sends jobs, or in the last message the complete shards, to the new owner. */
  sendAdopt: (owner: string, params: Params<'adopt'>) => Promise<Result<'adopt'>>;
  /** True when this entry owns the shard. */
  isOwned: (shard: number) => boolean;
  /** Reads the cluster map from the store. */
  refresh: () => Promise<unknown>;
  adoptJob: (state: JobState) => void;
  /** Marks shards of which this entry has received all jobs. */
  markComplete: (claims: ShardClaim[]) => void;
  log: Log;
  timeline: Timeline;
};

/** Maximum number of jobs in one message. */
const JOBS_PER_MESSAGE = 50;

const MAX_SEND_ATTEMPTS = 20;

/** Delay between two attempts to send a message, in milliseconds. */
const SEND_RETRY_MS = 100;

const shardOfState = ({ id }: JobState): number => shardOf(id);

/**
 * Transfers jobs from one owner to the next, so that a planned change of ownership loses no job.
 */
export class Handover {
  /** Resolves when the latest handover has ended. */
  ended: Promise<unknown> = Promise.resolve();

  private constructor(private readonly host: HandoverHost) {}

  /**
   * @param host - dependencies
   * @returns the handover
   */
  static create(host: HandoverHost): Handover {
    return new Handover(host);
  }

  /**
   * Sends jobs to the current owners of their shards.
   *
   * @param shards - shards that this entry no longer owns
   * @param jobs - jobs of these shards, which this entry has released
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
   * Receives jobs from their previous owner.
   *
   * @param params - the jobs, and the shards of which all jobs have been sent
   * @returns `accepted` is false when this entry does not own all of their shards
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
      // Only the last message marks the shards as complete, after all their jobs were accepted.
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
    throw CallError.create('lost', `${owner} did not accept the jobs`);
  }
}
