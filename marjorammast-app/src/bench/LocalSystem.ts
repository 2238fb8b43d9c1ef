import type { AddressInfo, Server } from 'node:net';
import { Agent } from '@marjorammast/agent';
import type { TaskRunner } from '@marjorammast/agent';
import { Entry } from '@marjorammast/entry';
import type { Placement } from '@marjorammast/entry';
import { createId, dial, environmentSchema, listen, sleep } from '@marjorammast/protocol';
import { EtcdStandIn, createEtcdHttp } from '@marjorammast/standins';
import { createEtcdStore } from '@marjorammast/store';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import { localPorts } from '../local/PortBlock';
import { serveHttp } from '../serveHttp';

/** Options of a {@link LocalSystem}. */
export type LocalSystemOptions = {
  /** Number of entries. */
  entries: number;
  /** Number of agents, each with one target. */
  agents: number;
  /** Number of slots of each target. */
  slots: number;
  /** Placement policy of the entries. */
  place: Placement;
  /** Runs a task on the target of the agent with this index. */
  run: (agent: number, payload: unknown) => Promise<unknown>;
};

export const BENCH_TEAM = 'bench';
export const BENCH_KIND = 'work';

/** Interval at which a target is announced to its agent, in milliseconds. */
const ANNOUNCE_PERIOD_MS = 2_000;

/** Traffic of all entries and agents in this process. */
const trafficCounters = { sentBytes: 0, receivedBytes: 0, messages: 0 };

const portOf = (server: { address: () => unknown }): number =>
  (server.address() as AddressInfo).port;

/**
 * Real entries and agents of the first design in one process, which communicate over loopback. A
 * function replaces the targets.
 */
export class LocalSystem {
  readonly entries: Entry[] = [];

  private readonly agents: Agent[] = [];

  private readonly servers: { close: () => unknown }[] = [];

  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(private readonly options: LocalSystemOptions) {}

  /**
   * Starts a system.
   *
   * @param options - its size, placement policy and targets
   * @returns the system, once all entries are ready and hold all slots
   */
  static async create(options: LocalSystemOptions): Promise<LocalSystem> {
    const system = new LocalSystem(options);
    await system.start();
    return system;
  }

  /** Number of messages that entries and agents have exchanged since the program started. */
  get messages(): number {
    return trafficCounters.messages;
  }

  /** Stops the system. */
  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.agents.forEach((agent) => agent.halt());
    this.entries.forEach((entry) => entry.halt());
    this.servers.forEach((server) => server.close());
  }

  private async start(): Promise<void> {
    const storeServer = await serveHttp(createEtcdHttp(EtcdStandIn.create()), '127.0.0.1:0');
    this.servers.push(storeServer);
    const store = `http://127.0.0.1:${portOf(storeServer)}`;
    const addresses: string[] = [];
    for (let index = 0; index < this.options.entries; index += 1) {
      addresses.push(await this.startEntry(index, store));
    }
    await this.waitUntil(() => this.entries.every((entry) => entry.cluster.isMember));
    await this.entries[0]?.environment.apply(this.environment, -1, 'bench');
    for (let index = 0; index < this.options.agents; index += 1) this.startAgent(index, addresses);
    const slots = this.options.agents * this.options.slots;
    const heldSlots = () =>
      this.entries.reduce((sum, entry) => sum + entry.agents.creditPool.size, 0);
    await this.waitUntil(
      () => this.entries.every((entry) => entry.isReady) && heldSlots() === slots,
    );
  }

  private async startEntry(index: number, store: string): Promise<string> {
    const address = `127.0.0.1:${await localPorts.next()}`;
    const name = `entry-${index}`;
    const entry = Entry.create({
      name,
      dataCenter: 'bench',
      address,
      prefix: '/bench/',
      store: createEtcdStore(store),
      dial: (other, server) => dial(other, server, trafficCounters),
      place: this.options.place,
      createId,
      log: createLog(name, 'error'),
      metrics: createMetrics(undefined, name),
      timeline: Timeline.create(name),
    });
    const server: Server = await listen(address, entry.server, trafficCounters);
    this.servers.push(server);
    this.entries.push(entry);
    entry.start();
    return address;
  }

  private startAgent(index: number, entries: readonly string[]): void {
    const name = `agent-${index}`;
    const runTask: TaskRunner = async (_target, { payload }) => {
      const result = (await this.options.run(index, payload)) as string;
      return { type: 'ended', outcome: { type: 'done', result } };
    };
    const agent = Agent.create({
      name,
      dataCenter: 'bench',
      entries,
      dial: (address, server) => dial(address, server, trafficCounters),
      runTask,
      createId,
      random: Math.random,
      log: createLog(name, 'error'),
      metrics: createMetrics(undefined, name),
      timeline: Timeline.create(name),
    });
    this.agents.push(agent);
    const target = { address: name, slots: this.options.slots, connections: 64 };
    agent.announce(target);
    this.timers.push(setInterval(() => agent.announce(target), ANNOUNCE_PERIOD_MS));
    agent.start();
  }

  private get environment() {
    return environmentSchema.parse({
      name: 'bench',
      teams: { [BENCH_TEAM]: { maxRunning: 100_000 } },
      kinds: { [BENCH_KIND]: {} },
      dataCenters: { bench: { region: 'bench' } },
    });
  }

  private async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) await sleep(20);
  }
}
