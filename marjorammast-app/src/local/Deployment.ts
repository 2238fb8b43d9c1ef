import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { sleep } from '@marjorammast/protocol';
import { callEntry } from '../callEntry';
import { localPorts } from './PortBlock';

/** Options of a local deployment. */
export type DeploymentOptions = {
  entries: number;
  agents: number;
  dataCenters: readonly string[];
  /** Slots of each target; 8 if absent. */
  slots?: number;
  /** Slowness of each target; the list is repeated if it is shorter. 1 for all targets if absent. */
  slowness?: readonly number[];
  /** Log level of the entries and agents; `info` if absent. */
  logLevel?: string;
  /** False if the caller announces targets itself; true if absent. */
  withTargets?: boolean;
};

/** One program that was started, with its HTTP address. */
export type Program = { name: string; process: ChildProcess; http: string; dataCenter: string };

/** Folder of the bundled programs, whether this module runs from its source or from a bundle. */
const BUNDLE_FOLDER = join(__dirname, __filename.endsWith('.ts') ? '../../dist' : '.');

/** Longest time to wait for a condition, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** Longest time to wait until a fleet of agents is connected, in milliseconds. */
const FLEET_CONNECT_TIMEOUT_MS = 120_000;

const POLL_PERIOD_MS = 50;

/** Longest time to wait for the end of a program, in milliseconds. */
const EXIT_TIMEOUT_MS = 35_000;

/** A deployment of the first design on this machine; each program is a separate process. */
export class Deployment {
  readonly entries: Program[] = [];

  readonly agents: Program[] = [];

  readonly targets: Program[] = [];

  store!: Program;

  private fleet: Program | undefined;

  private readonly ports = new Map<string, number>();

  private constructor(
    private readonly options: DeploymentOptions,
    readonly folder: string,
  ) {}

  /**
   * Starts a deployment and waits until its entries are ready and its agents are connected.
   *
   * @param options - size and other options of the deployment
   * @param environment - environment document to apply
   * @returns the running deployment
   * @throws Error when the deployment is not ready in time
   */
  static async create(options: DeploymentOptions, environment: unknown): Promise<Deployment> {
    const deployment = new Deployment(options, mkdtempSync(join(tmpdir(), 'marjorammast-')));
    try {
      await deployment.startAll();
      await deployment.applyEnvironment(environment);
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** HTTP addresses of the entries. */
  get addresses(): string[] {
    return this.entries.map(({ http }) => http);
  }

  /** File to which the targets append the starts and ends of tasks. */
  get records(): string {
    return join(this.folder, 'records.jsonl');
  }

  /** Starts or restarts one entry; a restart keeps the addresses. */
  async startEntry(index: number): Promise<Program> {
    const name = `entry-${index + 1}`;
    const dataCenter = this.dataCenterOf(index);
    const http = await this.addressOf(`${name}-http`);
    const rpc = await this.addressOf(`${name}-rpc`);
    const settings = { name, dataCenter, http, rpc, store: `http://${this.store.http}` };
    const program = this.launch('entry', name, http, dataCenter, settings);
    this.entries[index] = program;
    return program;
  }

  /** Starts or restarts one agent; a restart keeps the addresses. */
  async startAgent(index: number): Promise<Program> {
    const name = `agent-${index + 1}`;
    const dataCenter = this.dataCenterOf(index);
    const http = await this.addressOf(`${name}-http`);
    const entries = await Promise.all(
      Array.from({ length: this.options.entries }, (_, entry) =>
        this.addressOf(`entry-${entry + 1}-rpc`),
      ),
    );
    const program = this.launch('agent', name, http, dataCenter, {
      name,
      dataCenter,
      http,
      entries,
    });
    this.agents[index] = program;
    return program;
  }

  /**
   * Starts many agents in one process and waits until every entry is connected to all of them.
   *
   * @param count - number of agents
   * @param slots - slots that each agent offers
   */
  async startFleet(count: number, slots: number): Promise<void> {
    const entries = await Promise.all(
      this.entries.map(({ name }) => this.addressOf(`${name}-rpc`)),
    );
    const settings = { count, dataCenters: this.options.dataCenters, entries, slots };
    this.fleet = this.launch('agentFleet', 'fleet', '', '', settings);
    await this.waitUntil(
      `${count} agents connected`,
      async () => {
        const { body } = await callEntry(this.addresses[0] ?? '', 'GET', '/v1/entries');
        const all = body['entries'] as { agents: number }[];
        return all.every(({ agents }) => agents === count + this.agents.length);
      },
      FLEET_CONNECT_TIMEOUT_MS,
    );
  }

  /**
   * Waits until a condition holds.
   *
   * @param what - the condition in words, for the error message
   * @param condition - tells whether the condition holds; a rejection counts as no
   * @param timeoutMs - longest time to wait, in milliseconds
   * @throws Error when the condition does not hold in time
   */
  async waitUntil(
    what: string,
    condition: () => Promise<boolean>,
    timeoutMs: number = READY_TIMEOUT_MS,
  ): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    while (Date.now() < deadline) {
      if (await condition().catch(() => false)) return;
      await sleep(POLL_PERIOD_MS);
    }
    throw new Error(`${what}: not reached within ${timeoutMs} ms; logs are in ${this.folder}`);
  }

  /** Waits until every agent has a target and is connected to all entries. */
  async waitForAgents(): Promise<void> {
    await this.waitUntil('agents connected', async () => {
      const statuses = await Promise.all(
        this.agents.map(({ http }) => callEntry(http, 'GET', '/health')),
      );
      return statuses.every(
        ({ body }) =>
          (body['target'] !== '' || this.options.withTargets === false) &&
          body['entries'] === this.entries.length,
      );
    });
  }

  /** Kills every program and waits for its end. */
  async stop(): Promise<void> {
    const programs = [
      ...this.targets,
      ...this.agents,
      ...this.entries,
      this.fleet,
      this.store,
    ].filter((program) => program !== undefined);
    programs.forEach(({ process: child }) => child.kill('SIGKILL'));
    await Promise.all(programs.map((program) => this.waitForExit(program)));
  }

  /**
   * Waits for the end of a program.
   *
   * @param program - the program
   * @returns its exit code, or `null` if a signal ended it
   */
  async waitForExit({ name, process: child }: Program): Promise<number | null> {
    await this.waitUntil(
      `${name} ends`,
      async () => child.exitCode !== null || child.signalCode !== null,
      EXIT_TIMEOUT_MS,
    );
    return child.exitCode;
  }

  private async startAll(): Promise<void> {
    const { entries, agents } = this.options;
    const storeHttp = await this.addressOf('store');
    this.store = this.launch('storeStandIn', 'store', storeHttp, '', { http: storeHttp });
    const isUp = async () => (await callEntry(storeHttp, 'GET', '/faults')).status === 200;
    await this.waitUntil('store answers', isUp);
    for (let index = 0; index < entries; index += 1) {
      await this.startEntry(index);
    }
    for (let index = 0; index < agents; index += 1) {
      await this.startAgent(index);
      if (this.options.withTargets !== false) await this.startTarget(index);
    }
  }

  private async startTarget(index: number): Promise<void> {
    const name = `target-${index + 1}`;
    const http = await this.addressOf(name);
    const { slowness = [], slots = 8 } = this.options;
    this.targets[index] = this.launch('targetStandIn', name, http, this.dataCenterOf(index), {
      name,
      http,
      agent: this.agents[index]?.http,
      slots,
      behavior: { slowness: slowness[index % Math.max(1, slowness.length)] ?? 1 },
      records: this.records,
    });
  }

  private async applyEnvironment(environment: unknown): Promise<void> {
    const [first] = this.addresses;
    await this.waitUntil('environment applied', async () => {
      const body = { environment, expected: -1, author: 'local' };
      const { status } = await callEntry(first ?? '', 'PUT', '/v1/environment', body);
      return status === 200;
    });
    await this.waitUntil('entries ready', async () => {
      const answers = await Promise.all(
        this.addresses.map((address) => callEntry(address, 'GET', '/health/ready')),
      );
      return answers.every(({ status }) => status === 200);
    });
    await this.waitForAgents();
  }

  private dataCenterOf(index: number): string {
    const { dataCenters } = this.options;
    return dataCenters[index % dataCenters.length] ?? '';
  }

  private async addressOf(name: string): Promise<string> {
    const port = this.ports.get(name) ?? (await localPorts.next());
    this.ports.set(name, port);
    return `127.0.0.1:${port}`;
  }

  private launch(
    program: string,
    name: string,
    http: string,
    dataCenter: string,
    settings: object,
  ): Program {
    const file = join(this.folder, `${name}.jsonc`);
    const isDaemon = program === 'entry' || program === 'agent';
    const common = isDaemon ? { logLevel: this.options.logLevel ?? 'info' } : {};
    writeFileSync(file, JSON.stringify({ ...settings, ...common }, null, 2));
    const output = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(process.execPath, [join(BUNDLE_FOLDER, `${program}.js`), file], {
      stdio: ['ignore', output, output],
    });
    return { name, process: child, http, dataCenter };
  }
}
