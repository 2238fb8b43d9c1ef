import {
  CallError,
  HEARTBEAT_PERIOD_MS,
  PEER_TIMEOUT_MS,
  STORE_POLL_MS,
  clusterMapSchema,
  createCallServer,
  createId,
  decodeHeartbeat,
  emptyMap,
  shardsOf,
  withBalancedShards,
  withMember,
  withoutMembers,
} from '@marjorammast/protocol';
import type {
  ClusterMap,
  CallServer,
  Link,
  Member,
  Method,
  Heartbeat,
  Params,
  Result,
  ShardClaim,
} from '@marjorammast/protocol';
import { StoreError, swap } from '@marjorammast/store';
import type { Snapshot, Store, StoredValue } from '@marjorammast/store';
import { createLimitedWarning } from '@marjorammast/telemetry';
import type { Log, Timeline } from '@marjorammast/telemetry';
import { AgentRegistry } from './AgentRegistry';
import { AGENT_KEYS, REBALANCE_PERIOD_MS, ENVIRONMENT_KEY, MAP_KEY } from './constants';
import { configurationAge } from './configurationAge';
import type { PeerHeartbeat } from './configurationAge';

/** Dependencies of the cluster controller. */
export type ClusterControllerHost = {
  member: Member;
  /** Prefix of all keys of the deployment in the store. */
  prefix: string;
  store: Store;
  /** Opens a connection to another process. */
  dial: (address: string, server: CallServer) => Promise<Link>;
  /** Version of the environment in force at this entry. */
  version: () => number;
  /** Called with the environment as read from the store. */
  environmentRead: (value: StoredValue) => void;
  /** Requests the configuration from a peer that has a newer one. */
  catchUp: (peer: string) => Promise<void>;
  /** Called when the shards that this entry owns, or their epochs, have changed. */
  ownershipChanged: (gained: ShardClaim[], lost: number[]) => void;
  /**
   * Called after a read of the store or a heartbeat that may confirm the configuration as current.
   */
  refreshed: () => void;
  log: Log;
  timeline: Timeline;
};

/**
 * Time in milliseconds after which a minority of the entries removes an unreachable majority from
 * the cluster map. It is longer than the timeout of a majority, so that a majority acts first.
 */
const MINORITY_TIMEOUT_MS = 3 * PEER_TIMEOUT_MS;

/** Another member, the link to it and its latest heartbeat. */
type Peer = { member: Member; link?: Link; lastContactAt: number; heartbeat?: PeerHeartbeat };

/**
 * Serializes a value together with a nonce. Each written value is then unique, so that reading the
 * key back shows whether a write with a lost reply took effect.
 *
 * @param value - the value
 * @returns JSON text that differs from every other one
 */
export const withNonce = (value: object): string => JSON.stringify({ ...value, nonce: createId() });

/**
 * Membership of the entries and ownership of the shards, both held in the cluster map in the store,
 * and the evidence that this entry's configuration is current: reads of the store and the heartbeats
 * of the peers.
 */
export class ClusterController {
  map: ClusterMap = emptyMap();

  /** Revision of `map` in the store. */
  mapRevision = 0;

  /** Registered agent processes. */
  readonly registry: AgentRegistry;

  private readonly peers = new Map<string, Peer>();

  /** Revision of the first map that contains this process. */
  private joinedAtRevision = Infinity;

  /** Monotonic time at which the latest successful read of the store began. */
  private storeReadAt = -Infinity;

  /** Highest revision of the store that has been read. */
  private readRevision = 0;

  /** Number of writes in progress or with an unknown outcome. */
  private unsettledWrites = 0;

  private isJoined = false;

  private isHalted = false;

  private pendingRead: Promise<boolean> | undefined;

  private timers: NodeJS.Timeout[] = [];

  private stopWatch: () => void = () => undefined;

  /** Handles no calls: each peer makes its calls over a link of its own. */
  private readonly callServer: CallServer;

  private constructor(private readonly host: ClusterControllerHost) {
    const { store, prefix } = host;
    this.registry = AgentRegistry.create(store, `${prefix}${AGENT_KEYS}`, () => this.poll());
    this.callServer = createCallServer({}, createLimitedWarning(host.log, 'message_failed'));
  }

  /**
   * @param host - dependencies
   * @returns a controller that has not started
   */
  static create(host: ClusterControllerHost): ClusterController {
    return new ClusterController(host);
  }

  /** True while this process is in the cluster map and has not been halted. */
  get isMember(): boolean {
    return this.isJoined && !this.isHalted;
  }

  /** Starts reading the store, joins the cluster and starts requesting heartbeats. */
  start(): void {
    const { store, prefix } = this.host;
    this.stopWatch = store.watch(prefix, () => void this.poll());
    this.timers = [
      setInterval(() => void this.poll(), STORE_POLL_MS),
      setInterval(() => this.requestHeartbeats(), HEARTBEAT_PERIOD_MS),
      setInterval(() => void this.rebalance(), REBALANCE_PERIOD_MS),
    ];
    void this.poll();
  }

  /** Stops all activity at once, as a crash would. */
  halt(): void {
    this.isHalted = true;
    this.stopWatch();
    this.timers.forEach((timer) => clearInterval(timer));
    this.peers.forEach(({ link }) => link?.close());
  }

  /**
   * Time since this entry's configuration (environment and cluster map) was last known to be
   * current, in milliseconds.
   */
  configurationAge(): number {
    const peers = this.map.members
      .filter(({ name }) => name !== this.host.member.name)
      .map(({ name }) => this.peers.get(name)?.heartbeat);
    return configurationAge(
      {
        version: this.host.version(),
        mapRevision: this.mapRevision,
        storeReadAt: this.storeReadAt,
        isUnsettled: this.unsettledWrites > 0 || !this.isMember,
        peers,
      },
      performance.now(),
    );
  }

  /** Epochs of all shards, by the number of the shard. */
  epochs(): number[] {
    return this.map.shards.map(({ epoch }) => epoch);
  }

  /** Members other than this entry. */
  others(): Member[] {
    return this.map.members.filter(({ name }) => name !== this.host.member.name);
  }

  /** This entry's reply to the heartbeat request of a peer, which is the call `news`. */
  heartbeat(): Heartbeat {
    const now = performance.now();
    return {
      version: this.host.version(),
      mapRevision: this.mapRevision,
      storeAgeMs: Math.min(1e12, now - this.storeReadAt),
      unsettled: this.unsettledWrites > 0 || !this.isJoined,
      unreachable: [...this.peers.values()]
        .filter((peer) => now - peer.lastContactAt > PEER_TIMEOUT_MS)
        .map((peer) => peer.member.name),
    };
  }

  /** Names of the members that have not answered for `PEER_TIMEOUT_MS`. */
  unreachable(): string[] {
    return this.heartbeat().unreachable;
  }

  /**
   * Calls a peer, and connects to it first if necessary.
   *
   * @param name - name of the peer
   * @param method - name of the method
   * @param params - parameters of the call
   * @param timeoutMs - time to wait for the result, in milliseconds
   * @returns the result
   * @throws CallError when no result arrives
   */
  async call<M extends Method>(
    name: string,
    method: M,
    params: Params<M>,
    timeoutMs?: number,
  ): Promise<Result<M>> {
    const peer = this.peers.get(name);
    if (!peer) throw CallError.create('notSent', `${name} is not a member`);
    if (!peer.link?.isOpen) {
      peer.link = await this.connect(peer);
    }
    return peer.link.call(method, params, timeoutMs);
  }

  /**
   * Connects to a member. Fails if the process at its address is not the one in the cluster map.
   */
  private async connect({ member }: Peer): Promise<Link> {
    try {
      const link = await this.host.dial(member.address, this.callServer);
      const { incarnation } = await link.call('identify', {});
      if (incarnation === member.incarnation) return link;
      link.close();
    } catch (error) {
      throw CallError.create('notSent', `${member.name}: ${String(error)}`);
    }
    throw CallError.create('notSent', `${member.name} was replaced by another process`);
  }

  /**
   * Writes to the store. Until the outcome of the write is known, heartbeats report this entry as
   * `unsettled`, and the agreement of its peers is no evidence that its configuration is current.
   *
   * @param key - key below the prefix
   * @param revision - expected revision of the key
   * @param value - new value, different from every earlier one
   * @returns the outcome of the write
   */
  async write(key: string, revision: number, value: string): ReturnType<typeof swap> {
    this.unsettledWrites += 1;
    const result = await swap(this.host.store, `${this.host.prefix}${key}`, revision, value);
    if (result.type === 'unsettled') this.settleLater(key, revision, value);
    else this.unsettledWrites -= 1;
    await this.poll();
    return result;
  }

  /**
   * Reads the changes from the store.
   *
   * @returns true when the store answered
   */
  async poll(): Promise<boolean> {
    // A read that is already in progress may have begun before the change that the caller looks
    // for.
    const previous = this.pendingRead;
    if (previous) await previous;
    if (this.pendingRead) return this.pendingRead;
    this.pendingRead = this.readStore().finally(() => {
      this.pendingRead = undefined;
    });
    return this.pendingRead;
  }

  /**
   * Replaces the cluster map, unless the current one is at least as new.
   *
   * @param map - map from the store or from a peer
   * @param revision - revision of the map
   */
  acceptMap(map: ClusterMap, revision: number): void {
    if (revision <= this.mapRevision) return;
    const before = this.map;
    this.map = map;
    this.mapRevision = revision;
    this.updatePeers();
    this.updateOwnership(before);
  }

  /**
   * Removes this entry from the cluster map and assigns its shards to the other members.
   *
   * @returns true when the other members own the shards now
   */
  async leave(): Promise<boolean> {
    const next = withoutMembers(this.map, [this.host.member.name]);
    if (next.members.length === 0) return false;
    const left = await this.writeMap(next);
    if (left) this.isJoined = false;
    return left;
  }

  /**
   * True when a peer counts this entry as a member: its latest heartbeat reports a cluster map that
   * is at least as new as the first one with this entry.
   */
  isCountedBy(name: string): boolean {
    const reply = this.peers.get(name)?.heartbeat?.reply;
    return reply !== undefined && reply.mapRevision >= this.joinedAtRevision;
  }

  /** Records that a peer has stopped for good. A later heartbeat of the peer revokes this. */
  markDeparted(name: string): void {
    const peer = this.peers.get(name);
    if (peer?.heartbeat) peer.heartbeat = { ...peer.heartbeat, hasLeft: true };
  }

  /**
   * Retries until it is certain that a write with a lost reply either took effect or never will.
   */
  private settleLater(key: string, revision: number, value: string): void {
    const retry = async (): Promise<void> => {
      if (this.isHalted) return;
      try {
        if (!(await this.settle(key, revision, value))) throw StoreError.create('outcome unknown');
        this.unsettledWrites -= 1;
        await this.poll();
      } catch {
        setTimeout(() => void retry(), STORE_POLL_MS);
      }
    };
    setTimeout(() => void retry(), STORE_POLL_MS);
  }

  private async settle(key: string, revision: number, value: string): Promise<boolean> {
    const { store, prefix } = this.host;
    const fullKey = `${prefix}${key}`;
    const found = (await store.read(fullKey)).values.find((stored) => stored.key === fullKey);
    if ((found?.revision ?? 0) !== revision) return true;
    // The key has not changed, so the lost write may still arrive. Writing the current value again
    // raises the key's revision, so that the lost compare-and-swap fails. A key without a value
    // gets the new one.
    const settlingValue = found ? withNonce(JSON.parse(found.value) as object) : value;
    return (await store.compareAndSwap(fullKey, revision, settlingValue)) !== undefined;
  }

  private async readStore(): Promise<boolean> {
    const { store, prefix } = this.host;
    const readAt = performance.now();
    try {
      const snapshot = await store.read(prefix, this.readRevision + 1);
      if (this.isHalted) return false;
      this.applySnapshot(snapshot);
      this.storeReadAt = readAt;
    } catch {
      return false;
    }
    if (!this.isMember && !this.isHalted) void this.join();
    else void this.removeUnreachable();
    this.host.refreshed();
    return true;
  }

  private applySnapshot(snapshot: Snapshot): void {
    const { prefix } = this.host;
    snapshot.values.forEach((value) => {
      const key = value.key.slice(prefix.length);
      if (key.startsWith(AGENT_KEYS)) this.registry.update(key.slice(AGENT_KEYS.length), value);
      if (key === ENVIRONMENT_KEY) this.host.environmentRead(value);
    });
    const map = snapshot.values.find(({ key }) => key === `${prefix}${MAP_KEY}`);
    if (map && map.revision > this.mapRevision) {
      const parsed = clusterMapSchema.parse(JSON.parse(map.value));
      this.acceptMap(parsed, map.revision);
    }
    this.readRevision = Math.max(this.readRevision, snapshot.revision);
  }

  private isJoining = false;

  private async join(): Promise<void> {
    if (this.isJoining) return;
    this.isJoining = true;
    try {
      if (await this.writeMap(withMember(this.map, this.host.member))) {
        this.isJoined = true;
        this.joinedAtRevision = this.mapRevision;
        this.host.log.info({ revision: this.mapRevision }, 'joined');
        this.host.timeline.record('joined', { revision: this.mapRevision });
        this.updateOwnership(emptyMap());
        this.host.refreshed();
      }
    } finally {
      this.isJoining = false;
    }
  }

  private async writeMap(map: ClusterMap): Promise<boolean> {
    const result = await this.write(MAP_KEY, this.mapRevision, withNonce(map));
    return result.type === 'written' && this.mapRevision >= result.revision;
  }

  private updatePeers(): void {
    const now = performance.now();
    const others = this.others();
    others.forEach((member) => {
      const known = this.peers.get(member.name);
      if (known?.member.incarnation === member.incarnation) return;
      known?.link?.close();
      this.peers.set(member.name, { member, lastContactAt: now });
    });
    this.peers.forEach((peer, name) => {
      if (others.some((member) => member.name === name)) return;
      peer.link?.close();
      this.peers.delete(name);
    });
  }

  /**
   * Reports the shards gained and lost between an earlier cluster map and the current one. Ends the
   * membership if this process is no longer in the map.
   */
  private updateOwnership(before: ClusterMap): void {
    const { member, log, timeline } = this.host;
    const self = this.map.members.find(({ name }) => name === member.name);
    if (this.isJoined && self?.incarnation !== member.incarnation) {
      this.isJoined = false;
      log.warn({ revision: this.mapRevision }, 'removed_from_map');
    }
    const previousEpochs = new Map(
      shardsOf(before, member.name).map(({ shard, epoch }) => [shard, epoch]),
    );
    const claims = this.isJoined ? shardsOf(this.map, member.name) : [];
    const gained = claims.filter(({ shard, epoch }) => previousEpochs.get(shard) !== epoch);
    const kept = new Set(claims.map(({ shard }) => shard));
    // A shard that came back under a new epoch had another owner in between.
    const regained = gained.map(({ shard }) => shard).filter((shard) => previousEpochs.has(shard));
    const lost = [...[...previousEpochs.keys()].filter((shard) => !kept.has(shard)), ...regained];
    if (gained.length === 0 && lost.length === 0) return;
    timeline.record('ownershipChanged', {
      revision: this.mapRevision,
      gained: gained.length,
      lost: lost.length,
    });
    log.info(
      { revision: this.mapRevision, gained: gained.length, lost: lost.length },
      'ownership_changed',
    );
    this.host.ownershipChanged(gained, lost);
  }

  private requestHeartbeats(): void {
    this.peers.forEach((peer, name) => void this.requestHeartbeat(name, peer));
  }

  private async requestHeartbeat(name: string, peer: Peer): Promise<void> {
    const sentAt = performance.now();
    try {
      const reply = decodeHeartbeat(await this.call(name, 'news', {}));
      peer.lastContactAt = performance.now();
      peer.heartbeat = { reply, sentAt, hasLeft: false };
      const isBehind = reply.version > this.host.version() || reply.mapRevision > this.mapRevision;
      if (isBehind) await this.host.catchUp(name);
      this.host.refreshed();
    } catch {
      // The time of the peer's latest reply is unchanged, so `unreachable` lists the peer later.
    }
  }

  /**
   * Removes members from the cluster map that this entry and all its reachable peers report as
   * unreachable. A minority of the members waits longer before it does so.
   */
  private async removeUnreachable(): Promise<void> {
    const unreachable = this.unreachable();
    if (unreachable.length === 0 || this.unsettledWrites > 0) return;
    const reachable = [...this.peers.values()].filter(
      (peer) => !unreachable.includes(peer.member.name) && peer.heartbeat,
    );
    const isMajority = 2 * (reachable.length + 1) > this.map.members.length;
    const timeoutMs = isMajority ? PEER_TIMEOUT_MS : MINORITY_TIMEOUT_MS;
    const cutoff = performance.now() - timeoutMs;
    const gone = unreachable
      .filter((name) => (this.peers.get(name)?.lastContactAt ?? 0) < cutoff)
      .filter((name) =>
        reachable.every((peer) => peer.heartbeat?.reply.unreachable.includes(name)),
      );
    if (gone.length === 0) return;
    this.host.log.warn({ gone: gone.join(',') }, 'removing_unreachable');
    this.host.timeline.record('removing', { gone: gone.join(',') });
    await this.writeMap(withoutMembers(this.map, gone));
  }

  /**
   * Moves shards above this entry's fair share to other members, while all members are reachable.
   */
  private async rebalance(): Promise<void> {
    if (!this.isMember || this.unsettledWrites > 0 || this.unreachable().length > 0) return;
    const next = withBalancedShards(this.map, this.host.member.name);
    if (next !== this.map) await this.writeMap(next);
  }
}
