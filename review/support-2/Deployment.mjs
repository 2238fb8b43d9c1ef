/* eslint-disable import-x/extensions */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Machine } from './Machine.mjs';
import { Store } from './Store.mjs';
import { Worker } from './Worker.mjs';
import { sendJson, sleep } from './json.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const HOST = 'desk.example';

const PORTS = { frontend: 8161, readiness: 8167, control: 8166, app: 8080, store: 8169 };
const RPC_PORTS = [7720, 7735];
const METRICS_PORT = 9464;

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Finds a block of loopback addresses of which the ports are free. */
const findBlock = async () => {
  const draw = () => 1 + Math.floor(Math.random() * 250);
  const block = `127.${draw()}.${draw()}`;
  const ports = [...Object.values(PORTS), RPC_PORTS[0], METRICS_PORT];
  const free = await Promise.all(ports.map((port) => isFree(`${block}.1`, port)));
  return free.every(Boolean) ? block : findBlock();
};

/** A small deployment: entries, agents with their workers, and a store, each at a loopback address of its own. */
export class Deployment {
  /** @param options - `entries`, `workers` (numbers), `worker` (options of all workers), `route` (fields of the route) */
  static async start(options) {
    const deployment = new Deployment();
    await deployment.begin(options);
    return deployment;
  }

  constructor() {
    this.startedAt = performance.now();
    this.lines = [];
    this.events = [];
    this.machines = new Map();
    this.workers = [];
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    this.jobs = 0;
  }

  record(event) {
    const entry = { at: Math.round(performance.now() - this.startedAt), ...event };
    this.events.push(entry);
    const { at, type, ...rest } = entry;
    const fields = Object.entries(rest).filter(([, value]) => value !== undefined);
    this.lines.push(`${at} ${type} ${fields.map(([key, value]) => `${key}=${value}`).join(' ')}`);
  }

  async begin({ entries, workers, worker = {}, route = {} }) {
    this.block = await findBlock();
    this.storeAddress = `${this.block}.1:${PORTS.store}`;
    await this.store.listen(`${this.block}.1`, PORTS.store);
    this.configure(3, [{ name: 'check', prefix: '/check/', ...route }]);
    Array.from({ length: entries }, (_, index) => this.addEntry(index));
    await Promise.all(Array.from({ length: workers }, (_, index) => this.addWorker(index, worker)));
  }

  /** Writes a configuration, as the operator does. */
  configure(version, routes) {
    this.store.put('op/config', {
      version,
      routes: routes.map((route) => ({
        ...{ host: HOST, backend: 'desk', timeout_ms: 30_000, target_latency_ms: 60 },
        ...{ stretch: 1.6, priority: 0, attempts: 2, ...route },
      })),
      services: [{ name: 'desk', rejects_overload: false }],
      limits: {},
    });
    this.record({ type: 'configuration acknowledged', version });
  }

  fieldsOf(ip, zone) {
    return {
      ...{ ip, zone, region: 'region-a', internal_ports: RPC_PORTS, heartbeat_ms: 1_500 },
      platform: { address: this.storeAddress },
    };
  }

  addMachine(role, name, fields) {
    const { folder } = this;
    const record = (event) => this.record(event);
    const machine = new Machine({ root: ROOT, folder, role, name, fields, record });
    this.machines.set(name, machine);
    machine.start();
  }

  addEntry(index, fields = {}) {
    const ip = this.entryIp(index);
    const listen = { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}` };
    this.addMachine('entry', `edge-${index + 1}`, {
      ...this.fieldsOf(ip, ZONES[index % ZONES.length]),
      ...fields,
      listen_addrs: listen,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100 },
    });
  }

  /** Adds a machine with its worker. The index gives it a name and an address of its own. */
  async addWorker(index, { zone = ZONES[index % ZONES.length], ...options } = {}) {
    const ip = `${this.block}.${20 + index}`;
    const control = `${ip}:${PORTS.control}`;
    const app = `${ip}:${PORTS.app}`;
    this.addMachine('agent', `side-${index + 1}`, {
      ...this.fieldsOf(ip, zone),
      listen_addrs: { control },
      app,
      limits: { cpu_share: 0.405, cores: 1, memory_mb: 218, max_fds: 4_096 },
    });
    const worker = new Worker({
      ...{ id: `i-${index + 1}`, address: app, control, zone, service: 'desk' },
      capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
      runMs: (spec) => Number(spec),
      record: (event) => this.record(event),
      ...options,
    });
    this.workers.push(worker);
    await worker.listen();
    return worker;
  }

  /** A worker and its machine are lost for good, without SIGTERM. */
  async removeWorker(index) {
    const worker = this.workers.find(({ options }) => options.id === `i-${index + 1}`);
    worker.close();
    await this.machines.get(`side-${index + 1}`).end();
  }

  /** Waits until a process has written its address into the store, for 10 s at most. */
  async waitForRegistration(name) {
    const endsAt = performance.now() + 10_000;
    const isKnown = () => [...this.store.items.keys()].some((key) => key.endsWith(`/${name}`));
    while (!isKnown() && performance.now() < endsAt) {
      // eslint-disable-next-line no-await-in-loop
      await sleep(25);
    }
    return isKnown();
  }

  /** The first entries have addresses below those of the workers, later ones above them. */
  entryIp(index) {
    return `${this.block}.${index < 8 ? 10 + index : 170 + index}`;
  }

  frontendOf(index) {
    return `${this.entryIp(index)}:${PORTS.frontend}`;
  }

  nextId() {
    this.jobs += 1;
    return this.jobs.toString(16).padStart(16, '0');
  }

  /** Submits a job of one step to an entry and records the call and its answer. */
  async submit(
    entry,
    { id = this.nextId(), prefix = '/check/', count = 2, runMs = 100, deadlineMs = 4_000 },
  ) {
    this.record({ type: `submit to ${prefix}`, job: id, entry: entry + 1, tasks: count, runMs });
    const answer = await sendJson(this.frontendOf(entry), 'POST', `${prefix}${id}`, {
      headers: { host: HOST, 'x-marjorammast-deadline-ms': String(deadlineMs) },
      body: {
        spec: String(runMs),
        best_effort: true,
        steps: [{ count, cpu: 3_100, mem_mb: 64, est_runtime_ms: runMs }],
      },
      timeoutMs: deadlineMs,
    });
    this.recordAnswer('answer', id, entry, answer);
    return { id, ...answer };
  }

  /** Cancels a job at an entry. */
  async cancel(entry, id, address = this.frontendOf(entry)) {
    this.record({ type: 'cancel', job: id, entry: entry + 1 });
    const headers = { host: HOST };
    const answer = await sendJson(address, 'DELETE', `/check/${id}`, { headers, timeoutMs: 4_000 });
    this.recordAnswer('cancel answered', id, entry, answer);
    return answer;
  }

  /** Asks an entry for the state of a job. */
  async ask(entry, id, prefix) {
    const headers = { host: HOST };
    const answer = await sendJson(this.frontendOf(entry), 'GET', `${prefix}${id}`, { headers });
    this.recordAnswer(`state at ${prefix}`, id, entry, answer);
    return answer;
  }

  recordAnswer(type, job, entry, { status, body, error }) {
    const detail = { state: body?.state, reason: body?.error };
    this.record({ type, job, entry: entry + 1, status, error, ...detail });
  }

  /** Waits until a job runs at each of the given entries, for 20 s at most. */
  async waitUntilServed(entries) {
    const endsAt = performance.now() + 20_000;
    let served = 0;
    while (served < entries && performance.now() < endsAt) {
      // eslint-disable-next-line no-await-in-loop
      const { status } = await this.submit(served, { count: 1, runMs: 50 });
      if (status === 200) served += 1;
      // eslint-disable-next-line no-await-in-loop
      else await sleep(200);
    }
    return served === entries;
  }

  /** Ends all processes and stand-ins and writes the record. */
  async end(recordFile, verdict) {
    await Promise.all([...this.machines.values()].map((machine) => machine.end()));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    writeFileSync(recordFile, `${[verdict, ...this.lines].join('\n')}\n`);
    if (process.env.KEEP_LOGS) process.stderr.write(`logs: ${this.folder}\n`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run). */
export const runCase = async (folderUrl, options, play) => {
  const recordFile = fileURLToPath(new URL('./record.txt', folderUrl));
  let deployment;
  let verdict = { code: 2, text: 'could not run' };
  try {
    deployment = await Deployment.start(options);
    verdict = await play(deployment, process.env.TROUBLE !== '0');
  } catch (error) {
    verdict = { code: 2, text: `could not run: ${error.message}` };
  }
  const words = ['the rule held', 'the rule was broken', 'the case could not run'];
  const text = `${words[verdict.code]}: ${verdict.text}`;
  await deployment?.end(recordFile, text);
  process.stdout.write(`${text}\n`);
  process.exitCode = verdict.code;
};
