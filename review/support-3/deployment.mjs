// A small deployment on loopback addresses: the daemons as the deploy file starts them, with settings rendered from
// the templates, and the stand-ins of store and workers in this process.
/* eslint import-x/extensions: off, no-await-in-loop: off, import-x/prefer-default-export: off */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { call, stopServer } from './http.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const REPOSITORY = new URL('../../', import.meta.url).pathname;
const PORTS = { frontend: 8161, app: 8165, control: 8166, readiness: 8167, store: 8169 };
const INTERNAL_PORTS = [7720, 7735];
const METRICS_PORT = 9464;
const EXIT_MS = 8_000;
const RESTART_MS = 500;

/** Runs of the roles, from the deploy file: words of the command, of which the last names the settings. */
const readCommands = () => {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  return Object.fromEntries(
    [...text.matchAll(/\[roles\.(\w+)\]\nrun = "([^"]*)"/g)].map(([, role, run]) => [
      role,
      run.split(' '),
    ]),
  );
};

/** Fills in the placeholders of a template that the templates of this repository use. */
const render = (template, fields) =>
  template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((found, key) => found?.[key], fields);
    return json ? JSON.stringify(value) : String(value ?? '');
  });

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Finds a loopback network of which the first addresses have all ports free. */
const findNetwork = async (machines) => {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 250)}`;
    const ports = [...Object.values(PORTS), INTERNAL_PORTS[0], METRICS_PORT];
    const checks = Array.from({ length: machines }, (_, index) => `${network}.${index + 10}`);
    const free = await Promise.all(
      checks.flatMap((host) => ports.map((port) => isFree(host, port))),
    );
    if (free.every(Boolean)) return network;
  }
  throw new Error('no free ports');
};

export class Deployment {
  /** `zones` has one name for each entry; the workers are spread over them. */
  constructor(record, { zones, workers, capacity, configuration, heartbeatMs = 1_500 }) {
    Object.assign(this, { record, zones, capacity, configuration, heartbeatMs });
    this.workerCount = workers;
    this.processes = new Map();
    /** Number of times that a daemon ended by itself, by its name. */
    this.ownEnds = new Map();
    this.isStopping = false;
    this.workers = [];
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.commands = readCommands();
    // Nothing stays behind when the script ends early.
    process.once('exit', () => this.processes.forEach((child) => child.kill('SIGKILL')));
  }

  async start() {
    const machines = 1 + this.zones.length + this.workerCount;
    const network = await findNetwork(machines);
    this.storeAddress = `${network}.10:${PORTS.store}`;
    this.entryIps = this.zones.map((_, index) => `${network}.${11 + index}`);
    this.agentIps = Array.from(
      { length: this.workerCount },
      (_, index) => `${network}.${11 + this.zones.length + index}`,
    );
    this.store = new Store(this.record);
    this.store.put('op/config', this.configuration);
    await this.store.start(this.storeAddress);
    this.agentIps.forEach((_, index) => this.startAgent(index));
    this.entryIps.forEach((_, index) => this.startEntry(index));
    await this.startWorkers();
    await Promise.all(this.entryIps.map((_, index) => this.waitForEntry(index, this.workerCount)));
    this.record.note(`${this.zones.length} entries and ${this.workerCount} agents are up`);
  }

  startEntry(index) {
    const ip = this.entryIps[index];
    const fields = {
      ...this.commonFields(ip, this.zones[index], `edge-${this.zones[index]}-1`),
      listen_addrs: {
        frontend: `${ip}:${PORTS.frontend}`,
        readiness: `${ip}:${PORTS.readiness}`,
        control: `${ip}:${PORTS.control}`,
      },
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100 },
    };
    this.launch('entry', `entry-${index}`, fields, () => this.startEntry(index));
  }

  startAgent(index) {
    const ip = this.agentIps[index];
    const fields = {
      ...this.commonFields(ip, this.zoneOf(index), `side-${this.zoneOf(index)}-${index}`),
      listen_addrs: { control: `${ip}:${PORTS.control}` },
      app: `${ip}:${PORTS.app}`,
      limits: { cpu_share: 0.405, cores: 1, memory_mb: 218, max_fds: 4_096 },
    };
    this.launch('agent', `agent-${index}`, fields, () => this.startAgent(index));
  }

  /** Kills a daemon; the platform starts it again after a short delay. */
  kill(name) {
    const child = this.processes.get(name);
    this.record.note(`SIGKILL to ${name}`);
    child.isKilled = true;
    child.kill('SIGKILL');
  }

  /** Stops a daemon and lets it go on after the given time. */
  freeze(name, ms) {
    const child = this.processes.get(name);
    this.record.note(`SIGSTOP to ${name}`);
    child.kill('SIGSTOP');
    setTimeout(() => {
      this.record.note(`SIGCONT to ${name}`);
      child.kill('SIGCONT');
    }, ms);
  }

  /** Machines of which a process has ended by itself at least so often. */
  machinesWithOwnEnds(times) {
    return [...this.ownEnds].filter(([, ends]) => ends >= times).map(([name]) => name);
  }

  frontend(index) {
    return `${this.entryIps[index]}:${PORTS.frontend}`;
  }

  async isReady(index) {
    const address = `${this.entryIps[index]}:${PORTS.readiness}`;
    try {
      const signal = AbortSignal.timeout(1_000);
      return (await call(address, 'GET', '/api/ready', { signal })).status === 200;
    } catch {
      return false;
    }
  }

  /** Waits until an entry is ready and has the given number of open workers. */
  async waitForEntry(index, workers) {
    const end = performance.now() + 30_000;
    while (performance.now() < end) {
      if ((await this.isReady(index)) && (await this.openWorkers(index)) >= workers) return;
      await sleep(50);
    }
    throw new Error(`entry ${index} is not ready`);
  }

  /** Ends all processes and servers that were started here. */
  async stop() {
    this.isStopping = true;
    const children = [...this.processes.values()];
    children.forEach((child) => {
      child.kill('SIGCONT');
      child.kill('SIGTERM');
    });
    const ended = (child) => child.exitCode !== null || child.signalCode !== null;
    const end = performance.now() + EXIT_MS;
    while (!children.every(ended) && performance.now() < end) await sleep(50);
    children.filter((child) => !ended(child)).forEach((child) => child.kill('SIGKILL'));
    this.workers.forEach((worker) => worker.stop());
    stopServer(this.store?.server);
    if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
  }

  zoneOf(worker) {
    return this.zones[worker % this.zones.length];
  }

  commonFields(ip, zone, name) {
    return {
      node_name: name,
      ip,
      zone,
      internal_ports: INTERNAL_PORTS,
      platform: { address: this.storeAddress },
    };
  }

  async startWorkers() {
    this.workers = this.agentIps.map(
      (ip, index) =>
        new Worker(
          {
            id: `i-${index}a5f0c31`,
            service: 'desk',
            zone: this.zoneOf(index),
            capacity: this.capacity,
            labels: ['a', `r1-${index}`],
            address: `${ip}:${PORTS.app}`,
            control: `${ip}:${PORTS.control}`,
            heartbeatMs: this.heartbeatMs,
          },
          this.record,
        ),
    );
    await Promise.all(this.workers.map((worker) => worker.start()));
  }

  async openWorkers(index) {
    const { text } = await this.metrics(index);
    return Number(/marjorammast_open_workers (\d+)/.exec(text)?.[1] ?? 0);
  }

  metrics(index) {
    return call(`${this.entryIps[index]}:${METRICS_PORT}`, 'GET', '/metrics');
  }

  launch(role, name, fields, restart) {
    const template = readFileSync(join(REPOSITORY, `deploy/${role}.jsonc`), 'utf8');
    const settings = join(this.folder, `${name}.jsonc`);
    writeFileSync(settings, render(template, fields));
    const [program, ...words] = this.commands[role];
    const command = program === 'node' ? process.execPath : program;
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(command, [...words.slice(0, -1), settings], {
      cwd: REPOSITORY,
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG },
    });
    this.processes.set(name, child);
    child.once('exit', (code, signal) => this.handleExit(name, child, { code, signal }, restart));
  }

  handleExit(name, child, { code, signal }, restart) {
    if (this.isStopping) return;
    if (!child.isKilled) {
      this.ownEnds.set(name, (this.ownEnds.get(name) ?? 0) + 1);
      this.record.note(`${name} has ended by itself: code ${code}, signal ${signal}`);
    }
    setTimeout(() => {
      if (!this.isStopping) restart();
    }, RESTART_MS);
  }
}
