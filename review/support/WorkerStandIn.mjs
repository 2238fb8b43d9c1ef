/* eslint-disable import-x/prefer-default-export -- plain modules of Node.js, without a build */
import { createServer, request as sendRequest } from 'node:http';

/** Longest lease that a worker grants, in milliseconds (`max_hold_ms`). */
const MAX_HOLD_MS = 1_000;

/** Time that a stop takes, in milliseconds (at most `stop_ms`). */
const STOP_MS = 20;

/** Largest number of ends in one answer. */
const ENDS_PER_ANSWER = 500;

const readJson = async (request) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  await new Promise((resolve) => {
    request.once('end', resolve);
    request.once('close', resolve);
  });
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/** One worker that follows the page of the protocol and records what it runs. */
export class WorkerStandIn {
  runs = new Map();

  highestRuns = new Map();

  ended = [];

  lastEnd = 0;

  fence = 0;

  leaseUntil = 0;

  sequence = 0;

  state = 'ready';

  waiting = new Set();

  /** `runMs` is the time that a task of a job takes, from its `spec`. `record` gets all events. */
  constructor({ id, service, zone, cpu, labels, address, control, heartbeatMs, runMs, record }) {
    this.options = {
      id,
      service,
      zone,
      cpu,
      labels,
      address,
      control,
      heartbeatMs,
      runMs,
      record,
    };
    this.born = Date.now();
    this.startedAt = performance.now();
  }

  get clock() {
    return Math.round(performance.now() - this.startedAt) + 1;
  }

  /** Listens on its address and begins to send heartbeats. */
  async start() {
    const { address, heartbeatMs } = this.options;
    const [host, port] = address.split(':');
    this.server = createServer((request, response) => {
      this.handle(request).then(
        ({ status, body }) => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(body));
        },
        () => {
          response.writeHead(400, { 'content-type': 'application/json' });
          response.end(JSON.stringify({ clock_ms: this.clock }));
        },
      );
    });
    this.server.keepAliveTimeout = 0;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
    this.heartbeatTimer = setInterval(() => this.sendHeartbeat(), heartbeatMs);
    this.sendHeartbeat();
  }

  close() {
    clearInterval(this.heartbeatTimer);
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.server?.close();
    this.server?.closeAllConnections();
  }

  sendHeartbeat() {
    const { id, service, zone, cpu, labels, address, control } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      backend: service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: 131_072, gpu: 0 },
      labels,
      born: this.born,
      clock_ms: this.clock,
      seq_num: this.sequence,
    });
    const [host, port] = control.split(':');
    const path = `/api/instances/${id}/heartbeat`;
    const headers = { 'content-type': 'application/json', 'content-length': body.length };
    const call = sendRequest({ host, port, path, method: 'POST', headers, timeout: 1_000 });
    call.on('response', (response) => response.resume());
    call.on('timeout', () => call.destroy());
    // The next heartbeat says the same.
    call.on('error', () => undefined);
    call.end(body);
  }

  async handle(request) {
    const expected = request.headers['x-marjorammast-expected-instance'];
    const body = await readJson(request);
    if (expected && expected !== this.options.id) {
      return { status: 421, body: { clock_ms: this.clock } };
    }
    if ((body.fence_token ?? 0) < this.fence) return this.refuse('fence');
    this.fence = body.fence_token ?? 0;
    if (request.url === '/api/run-start') return this.startRun(body);
    if (request.url === '/api/run-stop') return this.stopRun(body);
    if (request.url === '/api/hold') return this.hold(body);
    return { status: 404, body: {} };
  }

  refuse(reason) {
    return { status: 409, body: { clock_ms: this.clock, reason } };
  }

  accept() {
    return { status: 200, body: { clock_ms: this.clock } };
  }

  extend(untilMs) {
    const limited = Math.min(untilMs, this.clock + MAX_HOLD_MS);
    if (limited <= this.leaseUntil) return;
    this.leaseUntil = limited;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.runs.values()].forEach((run) => this.end(run, 'lapsed')),
      Math.max(0, limited - this.clock),
    );
  }

  startRun({ task, run, spec, until_ms: untilMs }) {
    if (untilMs <= this.clock) return this.refuse('late');
    this.extend(untilMs);
    const current = this.runs.get(task);
    if (current?.run === run) return this.accept();
    if (current || run <= (this.highestRuns.get(task) ?? 0)) return this.refuse('old');
    const runMs = this.options.runMs(spec, task);
    const state = { task, run, runMs, startedAt: performance.now() };
    state.timer = setTimeout(() => this.end(state, 'done'), runMs);
    this.runs.set(task, state);
    this.options.record('start', { worker: this.options.id, task, run });
    return this.accept();
  }

  stopRun({ task, run }) {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const current = this.runs.get(task);
    if (current?.run === run) {
      clearTimeout(current.timer);
      current.timer = setTimeout(() => this.end(current, 'stopped'), STOP_MS);
    }
    return this.accept();
  }

  async hold({ until_ms: untilMs, last_seen: lastSeen, wait_ms: waitMs = 0 }) {
    if (untilMs !== undefined) this.extend(untilMs);
    this.ended = this.ended.filter(([number]) => number > lastSeen);
    if (this.ended.length === 0 && waitMs > 0) await this.waitForEnd(waitMs);
    const running = [...this.runs.values()].map(({ task, run, runMs, startedAt }) => {
      const percent = Math.floor(((performance.now() - startedAt) / runMs) * 100);
      return [task, run, '', Math.max(0, Math.min(99, percent)), 0];
    });
    const ended = this.ended.slice(0, ENDS_PER_ANSWER);
    return { status: 200, body: { born: this.born, clock_ms: this.clock, running, ended } };
  }

  waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      setTimeout(wake, waitMs).unref();
      this.waiting.add(wake);
    });
  }

  end(state, how) {
    if (this.runs.get(state.task) !== state) return;
    clearTimeout(state.timer);
    this.runs.delete(state.task);
    this.highestRuns.set(state.task, Math.max(state.run, this.highestRuns.get(state.task) ?? 0));
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, state.task, state.run, how, '']);
    const { task, run } = state;
    this.options.record(how, { worker: this.options.id, task, run });
    [...this.waiting].forEach((wake) => wake());
  }
}
