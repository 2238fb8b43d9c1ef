import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ServerType } from '@hono/node-server';
import { sleep } from '@marjorammast/protocol';
import { PlatformStoreStandIn, WorkerStandIn } from '@marjorammast/standins';
import { serveHttp } from '../serveHttp';
import { localPorts } from './PortBlock';

/** HTTP answer to a client; the body is decoded if it is JSON. */
export type ClientAnswer = { status: number; body: unknown; headers: Record<string, unknown> };

/** One daemon that was started. */
export type Daemon = { name: string; process: ChildProcess };

/** Folder of the bundled programs, whether this module runs from its source or from a bundle. */
const BUNDLE_FOLDER = join(__dirname, __filename.endsWith('.ts') ? '../../dist' : '.');

/** Time between two reports of a worker to its agent, in milliseconds. */
const REPORT_PERIOD_MS = 300;

/** Time after which a crashed worker is back, in milliseconds. */
const CRASH_DURATION_MS = 3_000;

/** Longest time to wait for a condition, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

const POLL_PERIOD_MS = 25;

/** Time from SIGTERM to SIGKILL when the deployment stops, in milliseconds. */
const EXIT_TIMEOUT_MS = 10_000;

/** Host name of the only route. */
export const ROUTE_HOST = 'claims.example';

/** Path prefix of the only route. */
export const ROUTE_PREFIX = '/claims/';

const createConfiguration = (version: number) => ({
  version,
  routes: [
    {
      name: 'claims',
      host: ROUTE_HOST,
      prefix: ROUTE_PREFIX,
      route_type: 'non_idempotent',
      timeout_ms: 5_000,
      target_latency_ms: 100,
      priority: 0,
      backend: 'desk',
      attempts: 2,
      stretch: 2,
    },
  ],
  services: [{ name: 'desk', rejects_overload: false }],
});

const DATA_CENTERS = ['north', 'east'];

/**
 * Run time in milliseconds and CPU requirement of the tasks of a job, whether they fail, and the index of
 * the task that crashes its workers, if there is one; sent as JSON in the `spec` of the job.
 */
export type TaskSpec = { runMs: number; cpu: number; fails?: boolean; crashingTask?: number };

const parseSpec = (spec: string): TaskSpec => JSON.parse(spec) as TaskSpec;

// `instanceof` is not used, because under Jest the error comes from another realm.
const isUnreachable = (error: unknown): boolean => {
  const { code = '' } = error as NodeJS.ErrnoException;
  return ['ECONNREFUSED', 'ECONNRESET', 'EPIPE'].includes(code);
};

/**
 * Returns the address at which a process reaches an endpoint; it may be the address of a proxy.
 * `from` is the name of the calling process, or `others` for all processes that call the advertised
 * address.
 */
export type AddressResolver = (from: string, endpoint: string, address: string) => Promise<string>;

/** Options of `node` for each program, such as `--max-old-space-size=160`. */
export type NodeOptions = Partial<Record<'dispatchEntry' | 'gateAgent', readonly string[]>>;

/** Differences of a deployment from the default one. */
export type DeploymentOptions = {
  /** Returns the addresses at which the processes reach each other. */
  resolveAddress?: AddressResolver;
  /** Options of `node` for the daemons. */
  nodeOptions?: NodeOptions;
  /** Settings of an entry, beside those that all entries have. */
  entryFields?: (index: number) => object;
};

const resolveDirectly: AddressResolver = (_from, _endpoint, address) => Promise.resolve(address);

/**
 * A deployment of the dispatch design on this machine: entries and agents are separate processes,
 * the stand-ins of the store and of the workers run in this process.
 */
export class DispatchDeployment {
  readonly store = PlatformStoreStandIn.create();

  readonly workers: WorkerStandIn[] = [];

  readonly entries: Daemon[] = [];

  readonly agents: Daemon[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'marjorammast-dispatch-'));

  private readonly ports = new Map<string, number>();

  /** Servers of the stand-ins, by endpoint. */
  private readonly servers = new Map<string, ServerType>();

  private isStopped = false;

  private reportTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly entryCount: number,
    private readonly workerCount: number,
    private readonly options: Required<DeploymentOptions>,
  ) {}

  /**
   * Starts a deployment and waits until each entry is attached to all agents.
   *
   * @param entryCount - number of entries
   * @param workerCount - number of workers, each with an agent
   * @param options - differences from the default deployment
   * @returns the running deployment
   * @throws Error when the deployment is not ready in time
   */
  static async create(
    entryCount: number,
    workerCount: number,
    {
      resolveAddress = resolveDirectly,
      nodeOptions = {},
      entryFields = () => ({}),
    }: DeploymentOptions = {},
  ): Promise<DispatchDeployment> {
    const options = { resolveAddress, nodeOptions, entryFields };
    const deployment = new DispatchDeployment(entryCount, workerCount, options);
    try {
      await deployment.start();
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** Folder of the logs and the settings of all daemons. */
  get logFolder(): string {
    return this.folder;
  }

  /** Writes a version of the operators' configuration to the store. */
  configure(version: number): void {
    this.store.put('op/config', JSON.stringify(createConfiguration(version)));
  }

  /** Returns the data centre of a worker. */
  dataCenterOf(worker: number): string {
    return DATA_CENTERS[worker % DATA_CENTERS.length] ?? '';
  }

  /** Starts or restarts an entry; a restart keeps the addresses. */
  async startEntry(index: number): Promise<void> {
    const name = `entry-${index}`;
    this.entries[index] = this.launch('dispatchEntry', name, {
      name,
      dataCenter: DATA_CENTERS[index % DATA_CENTERS.length],
      clients: await this.addressOf(`${name}-clients`),
      readiness: await this.addressOf(`${name}-readiness`),
      rpc: await this.addressOf(`${name}-rpc`),
      advertisedRpc: await this.resolvedAddressOf('others', `${name}-rpc`),
      metrics: await this.addressOf(`${name}-metrics`),
      store: await this.resolvedAddressOf(name, 'store'),
      stopTimeoutMs: 5_000,
      ...this.options.entryFields(index),
      queueing: { maxQueueMs: 200 },
    });
  }

  /** Starts or restarts an agent; a restart keeps the addresses. */
  async startAgent(index: number): Promise<void> {
    const name = `agent-${index}`;
    this.agents[index] = this.launch('gateAgent', name, {
      name,
      dataCenter: DATA_CENTERS[index % DATA_CENTERS.length],
      workerReports: await this.addressOf(`${name}-reports`),
      worker: await this.resolvedAddressOf(name, `worker-${index}`),
      rpc: await this.addressOf(`${name}-rpc`),
      advertisedRpc: await this.resolvedAddressOf('others', `${name}-rpc`),
      metrics: await this.addressOf(`${name}-metrics`),
      store: await this.resolvedAddressOf(name, 'store'),
      stopTimeoutMs: 5_000,
    });
  }

  /**
   * Submits a job as a client does.
   *
   * @param entry - index of the entry
   * @param id - identifier of the job
   * @param tasks - number of its tasks
   * @param spec - what each task does
   * @param fields - fields that are added to the body or replace its defaults
   * @param signal - aborts the request and closes the connection
   * @returns the answer
   */
  async submit(
    entry: number,
    id: string,
    tasks: number,
    spec: TaskSpec,
    fields: object = {},
    signal?: AbortSignal,
  ): Promise<ClientAnswer> {
    const step = { count: tasks, cpu: spec.cpu, mem_mb: 10, est_runtime_ms: spec.runMs };
    const body = { spec: JSON.stringify(spec), steps: [step], best_effort: true, ...fields };
    return this.call(`entry-${entry}-clients`, 'POST', `${ROUTE_PREFIX}${id}`, body, signal);
  }

  /**
   * Calls a daemon over HTTP.
   *
   * @param endpoint - name of the daemon's endpoint, such as `entry-0-clients`
   * @param method - HTTP method
   * @param path - path with its query
   * @param body - value to send as JSON
   * @param signal - aborts the request and closes the connection
   * @returns the answer
   */
  async call(
    endpoint: string,
    method: string,
    path: string,
    body?: object,
    signal?: AbortSignal,
  ): Promise<ClientAnswer> {
    const [host, port] = (await this.addressOf(endpoint)).split(':');
    const headers = { host: ROUTE_HOST, 'content-type': 'application/json' };
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const call = request({ host, port, method, path, headers, signal }, resolve);
      call.once('error', reject);
      call.end(body ? JSON.stringify(body) : undefined);
    });
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    await new Promise((resolve, reject) => {
      response.once('end', resolve);
      response.once('error', reject);
    });
    const text = Buffer.concat(chunks).toString();
    const isJson = response.headers['content-type']?.includes('json');
    return {
      status: response.statusCode ?? 0,
      body: isJson ? JSON.parse(text) : text,
      headers: response.headers,
    };
  }

  /**
   * Returns the address of an endpoint, which stays the same over restarts.
   *
   * @param endpoint - name of the endpoint, such as `entry-0-clients`
   * @returns host and port
   */
  async addressOf(endpoint: string): Promise<string> {
    const port = this.ports.get(endpoint) ?? (await localPorts.next());
    this.ports.set(endpoint, port);
    return `127.0.0.1:${port}`;
  }

  /**
   * Waits until a condition holds.
   *
   * @param what - the condition in words, for the error message
   * @param condition - tells whether the condition holds; a rejection counts as no
   * @throws Error when the condition does not hold in time
   */
  async waitUntil(what: string, condition: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    let lastFailure = 'condition not met';
    while (performance.now() < deadline) {
      try {
        if (await condition()) return;
      } catch (error) {
        lastFailure = String(error);
      }
      await sleep(POLL_PERIOD_MS);
    }
    const failure = `not reached within ${READY_TIMEOUT_MS} ms, last failure: ${lastFailure}`;
    throw new Error(`${what}: ${failure}; logs are in ${this.folder}`);
  }

  /** Waits for the end of a daemon. */
  async waitForExit({ name, process: child }: Daemon): Promise<void> {
    await this.waitUntil(
      `${name} ended`,
      async () => child.exitCode !== null || child.signalCode !== null,
    );
  }

  /** Waits until an entry is ready and attached to a number of agents whose workers accept tasks. */
  async waitForWorkers(entry: number, workers: number): Promise<void> {
    await this.waitUntil(`entry-${entry} attached to ${workers} open workers`, async () => {
      const ready = await this.call(`entry-${entry}-readiness`, 'GET', '/api/ready');
      const { body } = await this.call(`entry-${entry}-metrics`, 'GET', '/metrics');
      return (
        ready.status === 200 && String(body).includes(`marjorammast_open_workers ${workers}\n`)
      );
    });
  }

  /** Stops all daemons, by force after a timeout, and closes the stand-ins. */
  async stop(): Promise<void> {
    clearInterval(this.reportTimer);
    const daemons = [...this.entries, ...this.agents];
    daemons.forEach(({ process: child }) => {
      child.kill('SIGCONT');
      child.kill('SIGTERM');
    });
    const timer = setTimeout(
      () => daemons.forEach(({ process: child }) => child.kill('SIGKILL')),
      EXIT_TIMEOUT_MS,
    );
    await Promise.all(daemons.map((daemon) => this.waitForExit(daemon)));
    clearTimeout(timer);
    this.isStopped = true;
    this.workers.forEach((worker) => worker.halt());
    this.servers.forEach((_, endpoint) => this.closeEndpoint(endpoint));
  }

  private async start(): Promise<void> {
    this.configure(1);
    this.servers.set('store', await serveHttp(this.store.routes(), await this.addressOf('store')));
    for (let index = 0; index < this.workerCount; index += 1) await this.startWorker(index);
    this.reportTimer = setInterval(() => void this.sendReports(), REPORT_PERIOD_MS);
    for (let index = 0; index < this.workerCount; index += 1) await this.startAgent(index);
    for (let index = 0; index < this.entryCount; index += 1) await this.startEntry(index);
    for (let index = 0; index < this.entryCount; index += 1) {
      await this.waitForWorkers(index, this.workerCount);
    }
  }

  private async startWorker(index: number): Promise<void> {
    const worker = WorkerStandIn.create({
      id: `i-${index}`,
      service: 'desk',
      dataCenter: DATA_CENTERS[index % DATA_CENTERS.length] ?? '',
      labels: ['a', `rack-${index}`],
      capacity: { cpu: 4_000, memoryMb: 1_000, accelerators: 0 },
      runMs: (spec) => parseSpec(spec).runMs,
      needs: (spec) => ({ cpu: parseSpec(spec).cpu, memoryMb: 10, accelerators: 0 }),
      fails: (spec) => parseSpec(spec).fails ?? false,
      crashes: (spec, task) => parseSpec(spec).crashingTask === task,
      onCrash: () => void this.recoverWorker(index),
    });
    this.workers[index] = worker;
    await this.openWorker(index);
  }

  private async openWorker(index: number): Promise<void> {
    const endpoint = `worker-${index}`;
    const worker = this.workers[index];
    if (!worker) return;
    this.servers.set(endpoint, await serveHttp(worker.routes(), await this.addressOf(endpoint)));
  }

  /** Closes the address of a crashed worker, and starts the worker again some time later. */
  private async recoverWorker(index: number): Promise<void> {
    this.closeEndpoint(`worker-${index}`);
    await sleep(CRASH_DURATION_MS);
    if (this.isStopped) return;
    this.workers[index]?.recover();
    await this.openWorker(index);
  }

  private closeEndpoint(endpoint: string): void {
    const server = this.servers.get(endpoint);
    server?.close();
    if (server && 'closeAllConnections' in server) server.closeAllConnections();
  }

  private async sendReports(): Promise<void> {
    await Promise.all(
      this.workers.map(async (worker, index) => {
        if (worker.isDown) return;
        const { path, body } = worker.report();
        try {
          await this.call(`agent-${index}-reports`, 'POST', path, body);
        } catch (error) {
          // An agent that is down misses this report; the next report contains the same information.
          if (!isUnreachable(error)) throw error;
        }
      }),
    );
  }

  private async resolvedAddressOf(from: string, endpoint: string): Promise<string> {
    return this.options.resolveAddress(from, endpoint, await this.addressOf(endpoint));
  }

  private launch(program: keyof NodeOptions, name: string, settings: object): Daemon {
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const options = this.options.nodeOptions[program] ?? [];
    const bundle = join(BUNDLE_FOLDER, `${program}.js`);
    const child = spawn(process.execPath, [...options, bundle, file], {
      stdio: ['ignore', log, log],
    });
    return { name, process: child };
  }
}
