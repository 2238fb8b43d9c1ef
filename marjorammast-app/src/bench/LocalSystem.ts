import type { AddressInfo, Server } from 'node:net';
import { Agent } from '@marjorammast/agent';
import type { TaskRunner } from '@marjorammast/agent';
import { Entry } from '@marjorammast/entry';
import type { Placement } from '@marjorammast/entry';
import { createId, dial, environmentSchema, listen, sleep } from '@marjorammast/protocol';
import { StoreStandIn, createStoreHttp } from '@marjorammast/standins';
import { createEtcdStore } from '@marjorammast/store';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import { localPorts } from '../local/PortBlock';
import { serveHttp } from '../serveHttp';

/** Shape of a system in one process, over loopback. */
export type SystemSize = {
  entries: number;
  agents: number;
  slots: number;
  place: Placement;
  /** Runs a task of an agent's target. */
  run: (agent: number, payload: unknown) => Promise<unknown>;
};

export const BENCH_TEAM = 'bench';
export const BENCH_KIND = 'work';

const ANNOUNCE_MS = 2_000;

const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };

const portOf = (server: { address: () => unknown }): number =>
  (server.address() as AddressInfo).port;

/** Real entries and agents in one process, with targets as functions. */
export class LocalSystem {
  readonly entries: Entry[] = [];

  private readonly agents: Agent[] = [];

  private readonly servers: { close: () => unknown }[] = [];

  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(private readonly size: SystemSize) {}

  /**
   * @param size - how many of what
   * @returns a system that is ready for work
   */
  static async create(size: SystemSize): Promise<LocalSystem> {
    const system = new LocalSystem(size);
    await system.start();
    return system;
  }

  /** Messages between processes since the start of the program. */
  get messages(): number {
    return traffic.messages;
  }

  /** Ends the system. */
  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.agents.forEach((agent) => agent.halt());
    this.entries.forEach((entry) => entry.halt());
    this.servers.forEach((server) => server.close());
  }

  private async start(): Promise<void> {
    const storeServer = await serveHttp(createStoreHttp(StoreStandIn.create()), '127.0.0.1:0');
    this.servers.push(storeServer);
    const store = `http://127.0.0.1:${portOf(storeServer)}`;
    const addresses: string[] = [];
    for (let index = 0; index < this.size.entries; index += 1) {
      addresses.push(await this.startEntry(index, store));
    }
    await this.until(() => this.entries.every((entry) => entry.cluster.isMember));
    await this.entries[0]?.environment.apply(this.environment, -1, 'bench');
    for (let index = 0; index < this.size.agents; index += 1) this.startAgent(index, addresses);
    const slots = this.size.agents * this.size.slots;
    const held = () => this.entries.reduce((sum, entry) => sum + entry.agents.pool.size, 0);
    await this.until(() => this.entries.every((entry) => entry.isReady) && held() === slots);
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
      dial: (other, server) => dial(other, server, traffic),
      place: this.size.place,
      createId,
      log: createLog(name, 'error'),
      metrics: createMetrics(undefined, name),
      timeline: Timeline.create(name),
    });
    const server: Server = await listen(address, entry.server, traffic);
    this.servers.push(server);
    this.entries.push(entry);
    entry.start();
    return address;
  }

  private startAgent(index: number, entries: readonly string[]): void {
    const name = `agent-${index}`;
    const runTask: TaskRunner = async (_target, { payload }) => {
      const result = (await this.size.run(index, payload)) as string;
      return { type: 'ended', outcome: { type: 'done', result } };
    };
    const agent = Agent.create({
      name,
      dataCenter: 'bench',
      entries,
      dial: (address, server) => dial(address, server, traffic),
      runTask,
      createId,
      random: Math.random,
      log: createLog(name, 'error'),
      metrics: createMetrics(undefined, name),
      timeline: Timeline.create(name),
    });
    this.agents.push(agent);
    const target = { address: name, slots: this.size.slots, connections: 64 };
    agent.announce(target);
    this.timers.push(setInterval(() => agent.announce(target), ANNOUNCE_MS));
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

  private async until(condition: () => boolean): Promise<void> {
    while (!condition()) await sleep(20);
  }
}
