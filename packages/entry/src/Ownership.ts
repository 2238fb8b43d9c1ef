import { CLOCK_SKEW_MS, MAX_NOT_AFTER_MS, shardOf, sleep } from '@marjorammast/protocol';
import type { ShardClaim, StartRecord } from '@marjorammast/protocol';
import type { Log, Timeline } from '@marjorammast/telemetry';
import type { ConnectedAgent } from './AgentController';
import type { RegisteredAgent } from './AgentRegistry';
import { FENCE_RETRY_MS, FENCE_WAIT_MS } from './constants';
import type { ShardState } from './JobController';

/** What the ownership of shards needs of the entry. */
export type OwnershipHost = {
  registeredAgents: () => RegisteredAgent[];
  findAgent: (name: string, incarnation: string) => ConnectedAgent | undefined;
  /** An agent has told what it started for the shards. */
  takeRecords: (records: StartRecord[], agent: RegisteredAgent) => void;
  /** The records that an agent process has left when it stopped gracefully. */
  findRetired: (name: string, incarnation: string) => StartRecord[] | undefined;
  log: Log;
  timeline: Timeline;
};

type OwnedShard = {
  epoch: number;
  isReady: boolean;
  ambiguousUntil: number;
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

/** Shards of this entry, and what is known of the starts of their earlier owners. */
export class Ownership {
  private readonly shards = new Map<number, OwnedShard>();

  private isHalted = false;

  private constructor(private readonly host: OwnershipHost) {}

  /**
   * @param host - what the ownership needs of the entry
   * @returns an ownership of nothing
   */
  static create(host: OwnershipHost): Ownership {
    return new Ownership(host);
  }

  /** Numbers of the shards that are owned. */
  get owned(): number[] {
    return [...this.shards.keys()];
  }

  /** Epoch of an owned shard; 0 for another. */
  epochOf(shard: number): number {
    return this.shards.get(shard)?.epoch ?? 0;
  }

  /** What is known about a shard. */
  stateOf(shard: number): ShardState {
    const state = this.shards.get(shard);
    if (!state) return { type: 'notOwned' };
    if (!state.isReady) return { type: 'recovering', ready: state.ready };
    return { type: 'ready', epoch: state.epoch, ambiguousUntil: state.ambiguousUntil };
  }

  /**
   * Takes shards over: fences their earlier owners at every agent and collects what was started.
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

  /** Gives shards up. */
  release(shards: readonly number[]): void {
    shards.forEach((shard) => {
      this.shards.get(shard)?.markReady();
      this.shards.delete(shard);
    });
  }

  /**
   * Notes that the earlier owner has told everything about some shards.
   *
   * @param claims - the shards with the epochs of this entry
   */
  markComplete(claims: readonly ShardClaim[]): void {
    this.makeReady(claims, 0);
  }

  /** Ends all activity. */
  halt(): void {
    this.isHalted = true;
  }

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
      this.takeOwnedRecords(retired, registered);
      missing.delete(processKey(registered));
      return;
    }
    const agent = this.host.findAgent(registered.name, registered.incarnation);
    if (!agent) return;
    try {
      const answer = await agent.link.call('fence', { claims: [...claims] });
      if (answer.incarnation !== registered.incarnation) return;
      this.takeOwnedRecords(answer.records, registered);
      missing.delete(processKey(registered));
    } catch {
      // The agent stays missing and is asked again.
    }
  }

  private takeOwnedRecords(records: readonly StartRecord[], agent: RegisteredAgent): void {
    const held = new Set(this.owned);
    this.host.takeRecords(
      records.filter(({ job }) => held.has(shardOf(job))),
      agent,
    );
  }

  private makeReady(claims: readonly ShardClaim[], ambiguousUntil: number): void {
    claims.forEach(({ shard, epoch }) => {
      const state = this.shards.get(shard);
      if (state?.epoch !== epoch) return;
      // What was vouched for once does not become doubtful again.
      state.ambiguousUntil = state.isReady
        ? Math.min(state.ambiguousUntil, ambiguousUntil)
        : ambiguousUntil;
      state.isReady = true;
      state.markReady();
    });
  }
}
