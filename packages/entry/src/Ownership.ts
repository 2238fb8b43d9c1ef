import { CLOCK_SKEW_MS, MAX_NOT_AFTER_MS, shardOf, sleep } from '@marjorammast/protocol';
import type { ShardClaim, StartRecord } from '@marjorammast/protocol';
import type { Log, Timeline } from '@marjorammast/telemetry';
import type { ConnectedAgent } from './AgentController';
import type { RegisteredAgent } from './AgentRegistry';
import { FENCE_RETRY_MS, FENCE_WAIT_MS } from './constants';
import type { ShardState } from './JobController';

/** Dependencies of `Ownership`. */
export type OwnershipHost = {
  registeredAgents: () => RegisteredAgent[];
  findAgent: (name: string, incarnation: string) => ConnectedAgent | undefined;
  /** Called with the start records that an agent process holds for owned shards. */
  addRecords: (records: StartRecord[], agent: RegisteredAgent) => void;
  /** Finds the start records that an agent process sent when it stopped gracefully. */
  findRetired: (name: string, incarnation: string) => StartRecord[] | undefined;
  log: Log;
  timeline: Timeline;
};

type OwnedShard = {
  /** Fencing token of the shard, raised by each change of its owner. */
  epoch: number;
  /** True once jobs of the shard may be accepted. */
  isReady: boolean;
  /**
   * Wall-clock time until which a job with an unknown key may already have run, in milliseconds; 0
   * if no such job has run.
   */
  ambiguousUntil: number;
  /** Resolves when the shard is ready, and also when this entry no longer owns it. */
  ready: Promise<void>;
  markReady: () => void;
};

const createShard = (epoch: number): OwnedShard => {
  let markReady: () => void = () => undefined;
  const ready = new Promise<void>((resolve) => {
    markReady = resolve;
  });
  return { epoch, isReady: false, ambiguousUntil: 0, ready, markReady };
};

const processKey = ({ name, incarnation }: RegisteredAgent): string => `${name}#${incarnation}`;

/**
 * Shards that this entry owns. When a shard comes from another owner, its start records are
 * collected from all agents before jobs are accepted, so that no task is started twice. If some
 * agents do not answer in time, the shard is ambiguous for a while: a job with an unknown key may
 * have run before, so it is refused unless the client guarantees that the key is new.
 */
export class Ownership {
  private readonly shards = new Map<number, OwnedShard>();

  private isHalted = false;

  private constructor(private readonly host: OwnershipHost) {}

  /**
   * @param host - dependencies
   * @returns an ownership without shards
   */
  static create(host: OwnershipHost): Ownership {
    return new Ownership(host);
  }

  /** Numbers of the owned shards. */
  get owned(): number[] {
    return [...this.shards.keys()];
  }

  /** Epoch of an owned shard; 0 for any other shard. */
  epochOf(shard: number): number {
    return this.shards.get(shard)?.epoch ?? 0;
  }

  /** State of a shard at this entry. */
  stateOf(shard: number): ShardState {
    const state = this.shards.get(shard);
    if (!state) return { type: 'notOwned' };
    if (!state.isReady) return { type: 'recovering', ready: state.ready };
    return { type: 'ready', epoch: state.epoch, ambiguousUntil: state.ambiguousUntil };
  }

  /**
   * Takes over shards: fences their previous owners at every agent and collects the start records.
   * A shard of epoch 1 has had no previous owner and is ready at once.
   *
   * @param claims - shards with their new epochs
   */
  acquire(claims: readonly ShardClaim[]): void {
    claims.forEach(({ shard, epoch }) => {
      this.shards.get(shard)?.markReady();
      this.shards.set(shard, createShard(epoch));
    });
    const isFirstOwner = ({ epoch }: ShardClaim) => epoch === 1;
    this.makeReady(claims.filter(isFirstOwner), 0);
    const inherited = claims.filter((claim) => !isFirstOwner(claim));
    if (inherited.length > 0) void this.recover(inherited);
  }

  /** Gives up shards. Submissions that wait for one of them continue and find it not owned. */
  release(shards: readonly number[]): void {
    shards.forEach((shard) => {
      this.shards.get(shard)?.markReady();
      this.shards.delete(shard);
    });
  }

  /**
   * Marks shards as complete: the previous owner has handed over every job, so they are ready and
   * no job with an unknown key has run.
   *
   * @param claims - the shards with the epochs under which this entry owns them
   */
  markComplete(claims: readonly ShardClaim[]): void {
    this.makeReady(claims, 0);
  }

  /** Stops fencing and collecting start records. */
  halt(): void {
    this.isHalted = true;
  }

  /**
   * Fences all agents and collects their start records. Ends when no agent's records are missing,
   * when no job key that the previous owner accepted can still be submitted, or when this entry
   * owns none of the shards any more.
   */
  private async recover(claims: readonly ShardClaim[]): Promise<void> {
    const { host } = this;
    const startedAt = performance.now();
    const missing = new Map(host.registeredAgents().map((agent) => [processKey(agent), agent]));
    const ambiguousUntil = Date.now() + MAX_NOT_AFTER_MS + 2 * CLOCK_SKEW_MS;
    const deadline = setTimeout(() => {
      if (missing.size === 0) return;
      this.makeReady(claims, ambiguousUntil);
      host.log.warn({ shards: claims.length, missing: missing.size }, 'takeover_incomplete');
      host.timeline.record('takeoverIncomplete', { shards: claims.length, missing: missing.size });
    }, FENCE_WAIT_MS);
    while (missing.size > 0 && Date.now() < ambiguousUntil && this.ownsAny(claims)) {
      await Promise.all([...missing.values()].map((agent) => this.fence(agent, claims, missing)));
      if (missing.size > 0) await sleep(FENCE_RETRY_MS);
    }
    clearTimeout(deadline);
    this.makeReady(claims, 0);
    const ms = Math.round(performance.now() - startedAt);
    host.log.info({ shards: claims.length, ms, missing: missing.size }, 'takeover_ended');
    host.timeline.record('takeoverEnded', { shards: claims.length, ms, missing: missing.size });
  }

  private ownsAny(claims: readonly ShardClaim[]): boolean {
    if (this.isHalted) return false;
    return claims.some(({ shard, epoch }) => this.epochOf(shard) === epoch);
  }

  private async fence(
    registered: RegisteredAgent,
    claims: readonly ShardClaim[],
    missing: Map<string, RegisteredAgent>,
  ): Promise<void> {
    const retired = this.host.findRetired(registered.name, registered.incarnation);
    if (retired) {
      this.addOwnedRecords(retired, registered);
      missing.delete(processKey(registered));
      return;
    }
    const agent = this.host.findAgent(registered.name, registered.incarnation);
    if (!agent) return;
    try {
      const answer = await agent.link.call('fence', { claims: [...claims] });
      if (answer.incarnation !== registered.incarnation) return;
      this.addOwnedRecords(answer.records, registered);
      missing.delete(processKey(registered));
    } catch {
      // The agent stays in `missing` and is fenced again.
    }
  }

  private addOwnedRecords(records: readonly StartRecord[], agent: RegisteredAgent): void {
    const owned = new Set(this.owned);
    this.host.addRecords(
      records.filter(({ job }) => owned.has(shardOf(job))),
      agent,
    );
  }

  private makeReady(claims: readonly ShardClaim[], ambiguousUntil: number): void {
    claims.forEach(({ shard, epoch }) => {
      const state = this.shards.get(shard);
      if (state?.epoch !== epoch) return;
      // A shard that was once marked complete must not become ambiguous again.
      state.ambiguousUntil = state.isReady
        ? Math.min(state.ambiguousUntil, ambiguousUntil)
        : ambiguousUntil;
      state.isReady = true;
      state.markReady();
    });
  }
}
