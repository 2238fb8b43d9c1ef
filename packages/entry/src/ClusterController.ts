import {
  CallError,
  NEWS_PERIOD_MS,
  PEER_TIMEOUT_MS,
  STORE_POLL_MS,
  clusterMapSchema,
  createCallServer,
  createId,
  decodeNews,
  emptyMap,
  shardsOf,
  withFairShare,
  withMember,
  withoutMembers,
} from '@marjorammast/protocol';
import type {
  ClusterMap,
  CallServer,
  Link,
  Member,
  Method,
  News,
  Params,
  Result,
  ShardClaim,
} from '@marjorammast/protocol';
import { StoreError, swap } from '@marjorammast/store';
import type { Snapshot, Store, StoredValue } from '@marjorammast/store';
import type { Log, Timeline } from '@marjorammast/telemetry';
import { AgentRegistry } from './AgentRegistry';
import { AGENT_KEYS, REBALANCE_PERIOD_MS, ENVIRONMENT_KEY, MAP_KEY } from './constants';
import { configurationAge } from './freshness';
import type { PeerHeartbeat } from './freshness';

/** What the cluster controller needs of the entry. */
export type ClusterHost = {
  member: Member;
  prefix: string;
  store: Store;
  dial: (address: string, server: CallServer) => Promise<Link>;
  version: () => number;
  /** Takes the environment as read from the store. */
  environmentRead: (value: StoredValue) => void;
  /** Asks a peer that knows more for its configuration. */
  catchUp: (peer: string) => Promise<void>;
  /** The shards of this entry have changed. */
  ownershipChanged: (gained: ShardClaim[], lost: number[]) => void;
  /** Called when the entry's news may have become fresh. */
  refreshed: () => void;
  log: Log;
  timeline: Timeline;
};

/** Time after which the smaller part of the entries removes the silent larger one, in ms. */
const MINORITY_TIMEOUT_MS = 3 * PEER_TIMEOUT_MS;

type Peer = { member: Member; link?: Link; lastContactAt: number; heartbeat?: PeerHeartbeat };

/** Peers answer on these links and call on their own. */
const NO_HANDLERS = createCallServer({});

/** Makes a value different from every other one, so that a lost reply can be settled. */
export const withNonce = (value: object): string => JSON.stringify({ ...value, nonce: createId() });

/** Membership of the entries, ownership of shards, and how current this entry's knowledge is. */
export class ClusterController {
  map: ClusterMap = emptyMap();

  mapRevision = 0;

  /** The agents' processes. */
  readonly registry: AgentRegistry;

  private readonly peers = new Map<string, Peer>();

  /** Revision of the map in which this process first stood. */
  private joinedAtRevision = Infinity;

  private storeReadAt = -Infinity;

  private readRevision = 0;

  private unsettledWrites = 0;

  private isJoined = false;

  private isHalted = false;

  private pendingRead: Promise<boolean> | undefined;

  private timers: NodeJS.Timeout[] = [];

  private stopWatch: () => void = () => undefined;

  private constructor(private readonly host: ClusterHost) {
    const { store, prefix } = host;
    this.registry = AgentRegistry.create(store, `${prefix}${AGENT_KEYS}`, () => this.poll());
  }

  /**
   * @param host - what the controller needs of the entry
   * @returns a controller that has not started
   */
  static create(host: ClusterHost): ClusterController {
    return new ClusterController(host);
  }

  /** True once this process is in the map. */
  get isMember(): boolean {
    return this.isJoined && !this.isHalted;
  }

  /** Starts to read the store, to join and to exchange news. */
  start(): void {
    const { store, prefix } = this.host;
    this.stopWatch = store.watch(prefix, () => void this.poll());
    this.timers = [
      setInterval(() => void this.poll(), STORE_POLL_MS),
      setInterval(() => this.sendHeartbeats(), NEWS_PERIOD_MS),
      setInterval(() => void this.rebalance(), REBALANCE_PERIOD_MS),
    ];
    void this.poll();
  }

  /** Ends all activity, as a crash would. */
  halt(): void {
    this.isHalted = true;
    this.stopWatch();
    this.timers.forEach((timer) => clearInterval(timer));
    this.peers.forEach(({ link }) => link?.close());
  }

  /** Age of this entry's news, in milliseconds. */
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

  /** Epochs of all shards. */
  epochs(): number[] {
    return this.map.shards.map(({ epoch }) => epoch);
  }

  /** Members other than this entry. */
  others(): Member[] {
    return this.map.members.filter(({ name }) => name !== this.host.member.name);
  }

  /** This entry's answer to a peer that asks for news. */
  heartbeat(): News {
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

  /** Members that have not answered for a while. */
  unreachable(): string[] {
    return this.heartbeat().unreachable;
  }

  /**
   * Calls a peer.
   *
   * @param name - name of the peer
   * @param method - name of the call
   * @param params - its parameters
   * @param timeoutMs - time to wait, in milliseconds
   * @returns the result
   * @throws CallError when there is none
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

  /** Opens a link to the process that stands in the map, and to no other one at its address. */
  private async connect({ member }: Peer): Promise<Link> {
    try {
      const link = await this.host.dial(member.address, NO_HANDLERS);
      const { incarnation } = await link.call('identify', {});
      if (incarnation === member.incarnation) return link;
      link.close();
    } catch (error) {
      throw CallError.create('notSent', `${member.name}: ${String(error)}`);
    }
    throw CallError.create('notSent', `${member.name} was replaced by another process`);
  }

  /**
   * Runs a write to the store; until it is settled this entry vouches for nothing.
   *
   * @param key - key below the prefix
   * @param revision - expected revision
   * @param value - new value, different from every earlier one
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
   * Reads what has changed in the store.
   *
   * @returns true when the store answered
   */
  async poll(): Promise<boolean> {
    const previous = this.pendingRead;
    if (previous) await previous;
    if (this.pendingRead) return this.pendingRead;
    this.pendingRead = this.readStore().finally(() => {
      this.pendingRead = undefined;
    });
    return this.pendingRead;
  }

  /**
   * Takes a map that a peer has told.
   *
   * @param map - the peer's map
   * @param revision - its revision
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
   * Gives all shards away and leaves the map.
   *
   * @returns true when other entries own the shards now
   */
  async leave(): Promise<boolean> {
    const next = withoutMembers(this.map, [this.host.member.name]);
    if (next.members.length === 0) return false;
    const left = await this.writeMap(next);
    if (left) this.isJoined = false;
    return left;
  }

  /** True when a peer is known to count this entry as a member. */
  isCountedBy(name: string): boolean {
    const news = this.peers.get(name)?.heartbeat?.news;
    return news !== undefined && news.mapRevision >= this.joinedAtRevision;
  }

  /** Notes that a peer has stopped for good, or answers for itself again. */
  markDeparted(name: string): void {
    const peer = this.peers.get(name);
    if (peer?.heartbeat) peer.heartbeat = { ...peer.heartbeat, hasLeft: true };
  }

  /** Finds out whether a write with a lost reply took effect, and makes sure it no longer can. */
  private settleLater(key: string, revision: number, value: string): void {
    const retry = async (): Promise<void> => {
      if (this.isHalted) return;
      try {
        if (!(await this.settle(key, revision, value))) throw StoreError.create('still unsettled');
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
    // The key has not moved, so the lost write may still arrive: moving the key bars it.
    const unchanged = found ? withNonce(JSON.parse(found.value) as object) : value;
    return (await store.compareAndSwap(fullKey, revision, unchanged)) !== undefined;
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

  private sendHeartbeats(): void {
    this.peers.forEach((peer, name) => void this.sendHeartbeat(name, peer));
  }

  private async sendHeartbeat(name: string, peer: Peer): Promise<void> {
    const sentAt = performance.now();
    try {
      const news = decodeNews(await this.call(name, 'news', {}));
      peer.lastContactAt = performance.now();
      peer.heartbeat = { news, sentAt, hasLeft: false };
      const isBehind = news.version > this.host.version() || news.mapRevision > this.mapRevision;
      if (isBehind) await this.host.catchUp(name);
      this.host.refreshed();
    } catch {
      // Silence is noticed by the age of the newest answer.
    }
  }

  private async removeUnreachable(): Promise<void> {
    const unreachable = this.unreachable();
    if (unreachable.length === 0 || this.unsettledWrites > 0) return;
    const reachable = [...this.peers.values()].filter(
      (peer) => !unreachable.includes(peer.member.name) && peer.heartbeat,
    );
    const isMajority = 2 * (reachable.length + 1) > this.map.members.length;
    const timeoutMs = isMajority ? PEER_TIMEOUT_MS : MINORITY_TIMEOUT_MS;
    const silentSince = performance.now() - timeoutMs;
    const gone = unreachable
      .filter((name) => (this.peers.get(name)?.lastContactAt ?? 0) < silentSince)
      .filter((name) => reachable.every((peer) => peer.heartbeat?.news.unreachable.includes(name)));
    if (gone.length === 0) return;
    this.host.log.warn({ gone: gone.join(',') }, 'removing_unreachable');
    this.host.timeline.record('removing', { gone: gone.join(',') });
    await this.writeMap(withoutMembers(this.map, gone));
  }

  private async rebalance(): Promise<void> {
    if (!this.isMember || this.unsettledWrites > 0 || this.unreachable().length > 0) return;
    const next = withFairShare(this.map, this.host.member.name);
    if (next !== this.map) await this.writeMap(next);
  }
}
