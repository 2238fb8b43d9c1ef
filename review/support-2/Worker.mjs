/* eslint-disable import-x/extensions, import-x/prefer-default-export */
import { listenJson, sendJson } from './json.mjs';

const MAX_LEASE_MS = 1_000;
const STOP_MS = 20;
const HEARTBEAT_MS = 1_500;
const LIST_LIMIT = 500;

/**
 * Small stand-in of a worker: run-start, run-stop and hold as the operators' pages say, with leases, fencing tokens,
 * run numbers and heartbeats. It starts whatever fits its lease, and does not guard its capacity.
 */
export class Worker {
  /**
   * @param options - `id`, `address` (host, port), `control` (address of the agent), `service`, `zone`, `capacity`,
   * `record` (called with each event), `runMs` (run time by spec), `clockStart` (reading at the start of a life)
   */
  constructor(options) {
    this.options = options;
    this.lives = 0;
    this.begin();
  }

  begin() {
    this.lives += 1;
    this.born = Math.max(Date.now(), (this.born ?? 0) + 1);
    this.startedAt = performance.now();
    this.clockStart = this.options.clockStart?.(this.lives) ?? 0;
    this.runs = new Map();
    this.highest = new Map();
    this.ended = [];
    this.endNumber = 0;
    this.token = 0;
    this.leaseEnd = 0;
    this.sequence = 0;
    this.waiters = new Set();
    this.state = 'ready';
  }

  async listen() {
    const [host, port] = this.options.address.split(':');
    this.server = await listenJson(host, Number(port), (request) => this.handle(request));
    this.isUp = true;
    this.beat();
    this.beats = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Crashes: connections end, runs and all state are lost. */
  crash() {
    this.isUp = false;
    clearInterval(this.beats);
    clearTimeout(this.leaseTimer);
    this.server.closeAllConnections();
    this.server.close();
    this.runs.forEach((run) => {
      clearTimeout(run.timer);
      this.note(run, 'crashed');
    });
    this.runs.clear();
  }

  /** Starts again under the same id. */
  async restart() {
    this.begin();
    await this.listen();
  }

  get clock() {
    return Math.floor(this.clockStart + performance.now() - this.startedAt);
  }

  note(run, type) {
    this.options.record({ worker: this.options.id, life: this.lives, ...run.name, type });
  }

  async beat() {
    const { id, control, service, zone, capacity, labels = ['a', 'r1-1'] } = this.options;
    this.sequence += 1;
    const body = {
      ...{ backend: service, address: this.options.address, zone, version: 'v1', slots: 8 },
      ...{ state: this.state, cold_remaining_ms: 0, capacity, labels, clock_ms: this.clock },
      ...{ seq_num: this.sequence, born: this.born },
    };
    const path = `/api/instances/${id}/heartbeat`;
    await sendJson(control, 'POST', path, { body, timeoutMs: 1_000 });
  }

  /** Answers a request, unless `lateMs` of the options names a delay: then it gets no answer and is carried
   * out later. */
  async handle(request) {
    const delayMs = this.options.lateMs?.(request, this.lives);
    if (delayMs === undefined) return this.carryOut(request);
    setTimeout(() => this.isUp && this.carryOut(request), delayMs);
    return undefined;
  }

  async carryOut({ url, headers, body }) {
    if (headers['x-marjorammast-expected-instance'] !== this.options.id) {
      return { status: 421, body: { clock_ms: this.clock } };
    }
    if ((body.fence_token ?? 0) < this.token) return this.refuse('fence', body);
    this.token = body.fence_token ?? 0;
    if (url.pathname === '/api/run-start') return this.start(body);
    if (url.pathname === '/api/run-stop') return this.stop(body);
    if (url.pathname === '/api/hold') return this.hold(body);
    return { status: 404, body: { clock_ms: this.clock } };
  }

  refuse(reason, { task, run }) {
    this.options.onRefused?.({ worker: this.options.id, reason, task, run });
    return { status: 409, body: { clock_ms: this.clock, reason } };
  }

  extend(until) {
    const end = Math.min(until, this.clock + MAX_LEASE_MS);
    if (end <= this.leaseEnd) return;
    this.leaseEnd = end;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.runs.values()].forEach((run) => this.end(run, 'lapsed')),
      Math.max(0, end - this.clock),
    );
  }

  start(body) {
    const { task, run, spec, until_ms: until } = body;
    if (until <= this.clock) return this.refuse('late', body);
    this.extend(until);
    const present = this.runs.get(task);
    if (present?.name.run === run) return { status: 200, body: { clock_ms: this.clock } };
    if (present || run <= (this.highest.get(task) ?? 0)) return this.refuse('old', body);
    const runMs = this.options.runMs(spec);
    const started = { name: { task, run }, runMs, at: performance.now() };
    started.timer = setTimeout(() => this.end(started, 'done'), runMs);
    this.runs.set(task, started);
    this.note(started, 'start');
    return { status: 200, body: { clock_ms: this.clock } };
  }

  stop({ task, run }) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    const present = this.runs.get(task);
    if (present?.name.run === run) {
      clearTimeout(present.timer);
      present.timer = setTimeout(() => this.end(present, 'stopped'), STOP_MS);
    }
    return { status: 200, body: { clock_ms: this.clock } };
  }

  async hold({ until_ms: until, last_seen: lastSeen, wait_ms: waitMs = 0 }) {
    const { lives } = this;
    if (until !== undefined) this.extend(until);
    this.ended = this.ended.filter(([number]) => number > lastSeen);
    if (this.ended.length === 0 && waitMs > 0) await this.waitForEnd(waitMs);
    if (lives !== this.lives) return undefined;
    const running = [...this.runs.values()].map(({ name, runMs, at }) => {
      const percent = Math.min(99, Math.floor(((performance.now() - at) / runMs) * 100));
      return [name.task, name.run, '', percent, 0];
    });
    const ended = this.ended.slice(0, LIST_LIMIT);
    return { status: 200, body: { born: this.born, clock_ms: this.clock, running, ended } };
  }

  waitForEnd(ms) {
    return new Promise((resolve) => {
      let timer;
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }

  end(run, how) {
    const { task, run: number } = run.name;
    if (this.runs.get(task) !== run) return;
    clearTimeout(run.timer);
    this.runs.delete(task);
    this.highest.set(task, Math.max(number, this.highest.get(task) ?? 0));
    this.endNumber += 1;
    this.ended.push([this.endNumber, task, number, how, '']);
    this.note(run, how);
    [...this.waiters].forEach((wake) => wake());
  }

  close() {
    if (this.isUp) this.crash();
  }
}
