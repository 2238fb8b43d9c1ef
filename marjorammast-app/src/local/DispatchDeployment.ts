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

/** Answer to a client. */
export type ClientAnswer = { status: number; body: unknown; headers: Record<string, unknown> };

/** One running daemon. */
export type Daemon = { name: string; process: ChildProcess };

const BUNDLES = join(__dirname, __filename.endsWith('.ts') ? '../../dist' : '.');

const REPORT_MS = 300;

const READY_TIMEOUT_MS = 20_000;

const POLL_MS = 25;

const EXIT_TIMEOUT_MS = 10_000;

/** Host name of the only queue. */
export const QUEUE_HOST = 'claims.example';

/** Path prefix of the only queue. */
export const QUEUE_PREFIX = '/claims/';

const configurationOf = (version: number) => ({
  version,
  routes: [
    {
      name: 'claims',
      host: QUEUE_HOST,
      prefix: QUEUE_PREFIX,
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

/** What a task of the tests does. */
export type TaskSpec = { runMs: number; cpu: number; fails?: boolean };

const readSpec = (spec: string): TaskSpec => JSON.parse(spec) as TaskSpec;

// No `instanceof`: in tests the error comes from another realm.
const isUnreachable = (error: unknown): boolean => {
  const { code = '' } = error as NodeJS.ErrnoException;
  return ['ECONNREFUSED', 'ECONNRESET', 'EPIPE'].includes(code);
};

/** Gives the address under which a process reaches a place, such as that of a proxy between. */
export type Detour = (from: string, place: string, address: string) => Promise<string>;

const direct: Detour = (_from, _place, address) => Promise.resolve(address);

/** Entries and agents as separate processes, beside stand-ins of store and workers. */
export class DispatchDeployment {
  readonly store = PlatformStoreStandIn.create();

  readonly workers: WorkerStandIn[] = [];

  readonly entries: Daemon[] = [];

  readonly agents: Daemon[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'marjorammast-dispatch-'));

  private readonly ports = new Map<string, number>();

  private readonly servers: ServerType[] = [];

  private reports: NodeJS.Timeout | undefined;

  private constructor(
    private readonly entryCount: number,
    private readonly workerCount: number,
    private readonly detour: Detour,
  ) {}

  /**
   * Starts a deployment and waits until each entry has all workers.
   *
   * @param entryCount - number of entries
   * @param workerCount - number of workers, each with an agent
   * @param detour - addresses under which the processes reach each other
   * @returns the running deployment
   */
  static async create(
    entryCount: number,
    workerCount: number,
    detour: Detour = direct,
  ): Promise<DispatchDeployment> {
    const deployment = new DispatchDeployment(entryCount, workerCount, detour);
    try {
      await deployment.start();
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** Folder with the logs of all daemons. */
  get logs(): string {
    return this.folder;
  }

  /** Writes the configuration as operators do. */
  configure(version: number): void {
    this.store.put('op/config', JSON.stringify(configurationOf(version)));
  }

  /** Data centre of a worker. */
  dataCenterOf(worker: number): string {
    return DATA_CENTERS[worker % DATA_CENTERS.length] ?? '';
  }

  /** Starts an entry, or starts it again at the same addresses. */
  async startEntry(index: number): Promise<void> {
    const name = `entry-${index}`;
    this.entries[index] = this.launch('dispatchEntry', name, {
      name,
      dataCenter: DATA_CENTERS[index % DATA_CENTERS.length],
      clients: await this.addressOf(`${name}-clients`),
      readiness: await this.addressOf(`${name}-readiness`),
      rpc: await this.addressOf(`${name}-rpc`),
      advertisedRpc: await this.pathTo('others', `${name}-rpc`),
      metrics: await this.addressOf(`${name}-metrics`),
      store: await this.pathTo(name, 'store'),
      stopTimeoutMs: 5_000,
    });
  }

  /** Starts an agent, or starts it again at the same addresses. */
  async startAgent(index: number): Promise<void> {
    const name = `agent-${index}`;
    this.agents[index] = this.launch('gateAgent', name, {
      name,
      dataCenter: DATA_CENTERS[index % DATA_CENTERS.length],
      workerReports: await this.addressOf(`${name}-reports`),
      worker: await this.pathTo(name, `worker-${index}`),
      rpc: await this.addressOf(`${name}-rpc`),
      advertisedRpc: await this.pathTo('others', `${name}-rpc`),
      metrics: await this.addressOf(`${name}-metrics`),
      store: await this.pathTo(name, 'store'),
      stopTimeoutMs: 5_000,
    });
  }

  /**
   * Sends a job as a client does.
   *
   * @param entry - number of the entry
   * @param id - identifier of the job
   * @param tasks - number of its tasks
   * @param spec - what each does
   * @param fields - further fields of the body
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
    return this.call(`entry-${entry}-clients`, 'POST', `${QUEUE_PREFIX}${id}`, body, signal);
  }

  /** Calls a daemon by the name of its address; an aborted signal breaks the connection. */
  async call(
    place: string,
    method: string,
    path: string,
    body?: object,
    signal?: AbortSignal,
  ): Promise<ClientAnswer> {
    const [host, port] = (await this.addressOf(place)).split(':');
    const headers = { host: QUEUE_HOST, 'content-type': 'application/json' };
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

  /** Waits until a condition holds. */
  async until(what: string, condition: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + READY_TIMEOUT_MS;
    let last = 'condition not met';
    while (performance.now() < end) {
      try {
        if (await condition()) return;
      } catch (error) {
        last = String(error);
      }
      await sleep(POLL_MS);
    }
    const seen = `not within ${READY_TIMEOUT_MS} ms, last: ${last}`;
    throw new Error(`${what}: ${seen}; logs are in ${this.folder}`);
  }

  /** Waits until a daemon has ended. */
  async untilExited({ name, process: child }: Daemon): Promise<void> {
    await this.until(
      `${name} ended`,
      async () => child.exitCode !== null || child.signalCode !== null,
    );
  }

  /** Waits until an entry is ready and is attached to a number of open workers. */
  async untilAttached(entry: number, workers: number): Promise<void> {
    await this.until(`entry-${entry} attached to ${workers} workers`, async () => {
      const ready = await this.call(`entry-${entry}-readiness`, 'GET', '/api/ready');
      const { body } = await this.call(`entry-${entry}-metrics`, 'GET', '/metrics');
      return (
        ready.status === 200 && String(body).includes(`marjorammast_open_workers ${workers}\n`)
      );
    });
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    clearInterval(this.reports);
    const daemons = [...this.entries, ...this.agents];
    daemons.forEach(({ process: child }) => {
      child.kill('SIGCONT');
      child.kill('SIGTERM');
    });
    const timer = setTimeout(
      () => daemons.forEach(({ process: child }) => child.kill('SIGKILL')),
      EXIT_TIMEOUT_MS,
    );
    await Promise.all(daemons.map((daemon) => this.untilExited(daemon)));
    clearTimeout(timer);
    this.workers.forEach((worker) => worker.halt());
    this.servers.forEach((server) => {
      server.close();
      if ('closeAllConnections' in server) server.closeAllConnections();
    });
  }

  private async start(): Promise<void> {
    this.configure(1);
    this.servers.push(await serveHttp(this.store.routes(), await this.addressOf('store')));
    for (let index = 0; index < this.workerCount; index += 1) await this.startWorker(index);
    this.reports = setInterval(() => void this.report(), REPORT_MS);
    for (let index = 0; index < this.workerCount; index += 1) await this.startAgent(index);
    for (let index = 0; index < this.entryCount; index += 1) await this.startEntry(index);
    for (let index = 0; index < this.entryCount; index += 1) {
      await this.untilAttached(index, this.workerCount);
    }
  }

  private async startWorker(index: number): Promise<void> {
    const worker = WorkerStandIn.create({
      id: `i-${index}`,
      service: 'desk',
      dataCenter: DATA_CENTERS[index % DATA_CENTERS.length] ?? '',
      labels: ['a', `rack-${index}`],
      capacity: { cpu: 4_000, memoryMb: 1_000, accelerators: 0 },
      runMs: (spec) => readSpec(spec).runMs,
      needs: (spec) => ({ cpu: readSpec(spec).cpu, memoryMb: 10, accelerators: 0 }),
      fails: (spec) => readSpec(spec).fails ?? false,
    });
    this.workers[index] = worker;
    this.servers.push(await serveHttp(worker.routes(), await this.addressOf(`worker-${index}`)));
  }

  private async report(): Promise<void> {
    await Promise.all(
      this.workers.map(async (worker, index) => {
        const { path, body } = worker.report();
        try {
          await this.call(`agent-${index}-reports`, 'POST', path, body);
        } catch (error) {
          // An agent that is down takes no report; the next one tells the same.
          if (!isUnreachable(error)) throw error;
        }
      }),
    );
  }

  private async pathTo(from: string, place: string): Promise<string> {
    return this.detour(from, place, await this.addressOf(place));
  }

  private async addressOf(place: string): Promise<string> {
    const port = this.ports.get(place) ?? (await localPorts.next());
    this.ports.set(place, port);
    return `127.0.0.1:${port}`;
  }

  private launch(program: string, name: string, settings: object): Daemon {
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(process.execPath, [join(BUNDLES, `${program}.js`), file], {
      stdio: ['ignore', log, log],
    });
    return { name, process: child };
  }
}
