/* eslint-disable import-x/extensions, no-await-in-loop, class-methods-use-this -- plain modules of Node.js, without a build */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { StoreStandIn } from './StoreStandIn.mjs';
import { WorkerStandIn } from './WorkerStandIn.mjs';

/** Root of the repository, where the platform starts the programs. */
const ROOT = new URL('../../', import.meta.url).pathname;

/** Ports that a deployment needs, as the platform assigns them: the same on all machines. */
const PORT_NAMES = ['frontend', 'control', 'readiness', 'internal', 'app', 'store'];

const READY_TIMEOUT_MS = 30_000;

const EXIT_TIMEOUT_MS = 8_000;

const POLL_PERIOD_MS = 50;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Finds free ports, one for each name. */
const findPorts = async (names) => {
  const servers = names.map(() => createServer());
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve, reject) => {
          server.once('error', reject);
          server.listen(0, '127.0.0.1', resolve);
        }),
    ),
  );
  const ports = Object.fromEntries(
    names.map((name, index) => [name, servers[index].address().port]),
  );
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
};

/** Returns the command of a role in the deploy file. */
const readCommand = (role) => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
};

/** Fills in a template of settings from the fields that the platform provides. */
const fillTemplate = (file, fields) =>
  readFileSync(join(ROOT, file), 'utf8').replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, path, isJson) => {
      const value = path.split('.').reduce((part, key) => part?.[key], fields);
      return isJson ? JSON.stringify(value) : String(value ?? '');
    },
  );

/**
 * A small deployment on loopback addresses: entries and agents are the project's own processes; the
 * store, the workers and the clients are stand-ins in this process.
 */
export class Deployment {
  entries = [];

  agents = [];

  workers = [];

  store = new StoreStandIn();

  lines = [];

  children = new Set();

  startedAt = performance.now();

  /**
   * `zones` are the names of the zones; entry and worker number N are in zone N modulo their number.
   * `storeAddressOf(machine, address)` returns the address at which a machine reaches the store, for
   * example that of a proxy.
   */
  constructor({
    entryCount,
    workerCount,
    zones,
    cpu = 32_000,
    runMs,
    bounds = {},
    storeAddressOf = (_, address) => address,
  }) {
    this.options = { entryCount, workerCount, zones, cpu, runMs, bounds, storeAddressOf };
    const part = () => 1 + Math.floor(Math.random() * 250);
    this.network = `127.${part()}.${part()}`;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
  }

  /** Milliseconds since the start of the deployment. */
  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  /** Adds a line to the record. */
  record(what, fields = {}) {
    this.lines.push({ at: this.now, what, ...fields });
  }

  /** Writes the record and returns its lines. */
  writeRecord(file) {
    const text = this.lines.map((line) => JSON.stringify(line)).join('\n');
    writeFileSync(file, `${text}\n`);
  }

  get storeAddress() {
    return `${this.network}.250:${this.ports.store}`;
  }

  /** Starts all and waits until the entries take clients and have workers. */
  async start(configuration) {
    const { entryCount, workerCount, zones, cpu, runMs } = this.options;
    this.ports = await findPorts(PORT_NAMES);
    const [host, port] = this.storeAddress.split(':');
    this.configure(configuration);
    await this.store.listen(host, Number(port));
    for (let index = 0; index < workerCount; index += 1) {
      const ip = `${this.network}.${100 + index}`;
      const zone = zones[index % zones.length];
      const worker = new WorkerStandIn({
        id: `i-${index}`,
        service: 'desk',
        zone,
        cpu,
        labels: ['a', `r-${index}`],
        address: `${ip}:${this.ports.app}`,
        control: `${ip}:${this.ports.control}`,
        heartbeatMs: 1_500,
        runMs,
        record: (what, fields) => this.record(what, fields),
      });
      this.workers.push(worker);
      this.agents.push({ name: `side-${index}`, ip, zone, role: 'agent', template: 'agent' });
    }
    for (let index = 0; index < entryCount; index += 1) {
      const ip = `${this.network}.${10 + index}`;
      const zone = zones[index % zones.length];
      this.entries.push({ name: `edge-${index}`, ip, zone, role: 'entry', template: 'entry' });
    }
    await Promise.all(this.workers.map((worker) => worker.start()));
    [...this.agents, ...this.entries].forEach((machine) => this.launch(machine));
    await Promise.all(this.entries.map((entry) => this.waitForWorkers(entry, workerCount)));
    this.record('ready');
  }

  /** Writes the operators' configuration, as the operator does. */
  configure(configuration) {
    const version = configuration.version ?? 1;
    this.record('config', { version });
    this.store.put('op/config', JSON.stringify({ ...configuration, version }));
  }

  /** Starts the process of a machine with the command of the deploy file. */
  launch(machine) {
    const { name, ip, zone, role, template } = machine;
    const { bounds, storeAddressOf } = this.options;
    const fields = {
      node_name: name,
      ip,
      zone,
      app: `${ip}:${this.ports.app}`,
      internal_ports: [this.ports.internal, this.ports.internal + 15],
      listen_addrs: {
        frontend: `${ip}:${this.ports.frontend}`,
        readiness: `${ip}:${this.ports.readiness}`,
        control: `${ip}:${this.ports.control}`,
      },
      platform: { address: storeAddressOf(name, this.storeAddress) },
      bounds,
    };
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(file, fillTemplate(`deploy/${template}.jsonc`, fields));
    const [program, ...args] = readCommand(role).map((word) =>
      word.startsWith('/etc/') ? file : word,
    );
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(program, args, { cwd: ROOT, stdio: ['ignore', log, log] });
    this.children.add(child);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      this.record('exit', { machine: name, code, signal });
    });
    Object.assign(machine, { child });
  }

  /** Sends a signal to the process of a machine. */
  signal(machine, name) {
    this.record('signal', { machine: machine.name, signal: name });
    machine.child.kill(name);
  }

  /** Returns the status of an entry's readiness endpoint, or 0 without an answer. */
  async fetchReadiness(entry, patienceMs) {
    const address = `${entry.ip}:${this.ports.readiness}`;
    try {
      return (await this.call(address, 'GET', '/api/ready', { patienceMs })).status;
    } catch {
      return 0;
    }
  }

  /** Waits until a condition holds. */
  async waitUntil(what, holds, timeoutMs = READY_TIMEOUT_MS) {
    const deadline = performance.now() + timeoutMs;
    while (!(await holds())) {
      if (performance.now() > deadline) throw new Error(`not reached: ${what}`);
      await sleep(POLL_PERIOD_MS);
    }
  }

  /** Waits until an entry takes clients and has the given number of workers. */
  async waitForWorkers(entry, count) {
    await this.waitUntil(`${entry.name} has ${count} workers`, async () => {
      if ((await this.fetchReadiness(entry)) !== 200) return false;
      const { text } = await this.call(`${entry.ip}:9464`, 'GET', '/metrics');
      return text.includes(`marjorammast_open_workers ${count}\n`);
    });
  }

  /**
   * Sends a request, on a connection of its own. Rejects when the connection ends without an answer; with
   * `patienceMs`, the client leaves after that time without an answer and closes its connection.
   */
  call(address, method, path, { host = 'x', body, deadlineMs, patienceMs, agent = false } = {}) {
    const [ip, port] = address.split(':');
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers = {
      host,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(deadlineMs === undefined ? {} : { 'x-marjorammast-deadline-ms': String(deadlineMs) }),
    };
    return new Promise((resolve, reject) => {
      const call = sendRequest({ host: ip, port, method, path, headers, agent });
      const timer =
        patienceMs === undefined
          ? undefined
          : setTimeout(() => call.destroy(new Error('client left')), patienceMs);
      call.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          clearTimeout(timer);
          resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() });
        });
      });
      call.on('error', (error) => {
        clearTimeout(timer);
        reject(error);
      });
      call.end(text);
    });
  }

  /** Sends a client's request to an entry and records it with its answer. */
  async request(entry, method, path, options = {}) {
    const address = `${entry.ip}:${this.ports.frontend}`;
    this.record('sent', { method, path, entry: entry.name });
    try {
      const answer = await this.call(address, method, path, options);
      this.record('answer', { method, path, entry: entry.name, ...answer });
      return answer;
    } catch (error) {
      this.record('no answer', { method, path, entry: entry.name, detail: error.message });
      return { status: 0, text: '' };
    }
  }

  /** Ends all processes that are left, at once. */
  kill() {
    this.children.forEach((child) => child.kill('SIGKILL'));
  }

  /** Ends all processes that were started, and closes the stand-ins. */
  async stop() {
    this.children.forEach((child) => {
      child.kill('SIGCONT');
      child.kill('SIGTERM');
    });
    const deadline = performance.now() + EXIT_TIMEOUT_MS;
    while (this.children.size > 0 && performance.now() < deadline) await sleep(POLL_PERIOD_MS);
    this.kill();
    while (this.children.size > 0) await sleep(POLL_PERIOD_MS);
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    if (!process.env.KEEP_LOGS) rmSync(this.folder, { recursive: true });
  }
}

/** A job that needn't be stored: one step with `count` tasks. */
export const createJob = ({ spec, count, cpu, estimateMs }) => ({
  spec,
  best_effort: true,
  steps: [{ count, cpu, mem_mb: 64, est_runtime_ms: estimateMs }],
});

/** A configuration with the given queues, all run by the service `desk`. */
export const createConfiguration = (version, queues) => ({
  version,
  routes: queues.map(({ name, host, prefix, timeoutMs = 1_500 }) => ({
    name,
    host,
    prefix,
    route_type: 'non_idempotent',
    timeout_ms: timeoutMs,
    target_latency_ms: 60,
    priority: 0,
    backend: 'desk',
    attempts: 2,
    stretch: 1.6,
  })),
  services: [{ name: 'desk', rejects_overload: false }],
  limits: {},
});

/** Finds tasks of which two runs were on workers at one time. */
export const findSimultaneousRuns = (lines) => {
  const active = new Map();
  const found = [];
  lines.forEach(({ at, what, worker, task, run }) => {
    if (!task) return;
    const runs = active.get(task) ?? new Map();
    active.set(task, runs);
    const key = `${worker}#${run}`;
    if (what !== 'start') {
      runs.delete(key);
      return;
    }
    runs.forEach((since, other) => found.push({ task, at, run: key, other, since }));
    runs.set(key, at);
  });
  return found;
};
