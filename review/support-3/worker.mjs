// Stand-in of a worker: run-start, run-stop, hold and heartbeats, as the platform's protocol page says.
/* eslint import-x/extensions: off, no-await-in-loop: off, import-x/prefer-default-export: off */
import { call, readJson, sendJson, startServer, stopServer } from './http.mjs';

const MAX_LEASE_MS = 1_000;
const STOP_MS = 20;
const LIST_LIMIT = 500;

export class Worker {
  /**
   * The text of a job is JSON: `ms` is the run time of its tasks on this worker, `cpu` what each needs, and `fails` the
   * index of a task that always fails.
   */
  constructor({ id, service, zone, capacity, labels, address, control, heartbeatMs }, record) {
    Object.assign(this, { id, service, zone, capacity, labels, address, control, heartbeatMs });
    this.record = record;
    this.state = 'ready';
    this.reset();
  }

  reset() {
    this.born = Date.now();
    this.clockStartedAt = performance.now();
    this.clockStart = 1_000;
    this.runs = new Map();
    this.highestRuns = new Map();
    this.ends = [];
    this.lastEnd = 0;
    this.highestToken = 0;
    this.leaseUntil = 0;
    this.sequence = 0;
    this.waiting = new Set();
  }

  get clock() {
    return Math.round(performance.now() - this.clockStartedAt) + this.clockStart;
  }

  get usedCpu() {
    return [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0);
  }

  async start() {
    this.server = await startServer(this.address, (request, response) =>
      this.handle(request, response),
    );
    this.beatTimer = setInterval(() => this.beat(), this.heartbeatMs);
    await this.beat();
  }

  stop() {
    clearInterval(this.beatTimer);
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    stopServer(this.server);
  }

  /** Body of the next heartbeat. */
  report() {
    this.sequence += 1;
    return {
      backend: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: this.capacity,
      labels: this.labels,
      born: this.born,
      clock_ms: this.clock,
      seq_num: this.sequence,
      ...(this.state === 'draining' ? { drain_remaining_ms: 5_000 } : {}),
    };
  }

  /** Sends a heartbeat. Returns the status of its answer; 0 without one. */
  async beat(body = this.report()) {
    const path = `/api/instances/${this.id}/heartbeat`;
    const signal = AbortSignal.timeout(1_000);
    try {
      return (await call(this.control, 'POST', path, { body, signal })).status;
    } catch {
      return 0;
    }
  }

  async handle(request, response) {
    const body = await readJson(request);
    const expected = request.headers['x-marjorammast-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      sendJson(response, 421, { born: this.born, clock_ms: this.clock });
      return;
    }
    const token = body?.fence_token ?? 0;
    if (token < this.highestToken) {
      this.refuse(response, 'fence');
      return;
    }
    this.highestToken = token;
    if (request.url === '/api/run-start') this.startRun(body, response);
    else if (request.url === '/api/run-stop') this.stopRun(body, response);
    else if (request.url === '/api/hold') await this.hold(body, response);
    else sendJson(response, 404, {});
  }

  refuse(response, reason) {
    sendJson(response, 409, { born: this.born, clock_ms: this.clock, reason });
  }

  accept(response) {
    sendJson(response, 200, { born: this.born, clock_ms: this.clock });
  }

  startRun({ task, run, spec, until_ms: until }, response) {
    if (until <= this.clock) {
      this.refuse(response, 'late');
      return;
    }
    this.extendLease(until);
    const present = this.runs.get(task);
    if (present?.run === run) {
      this.accept(response);
      return;
    }
    if (present || run <= (this.highestRuns.get(task) ?? 0)) {
      this.refuse(response, 'old');
      return;
    }
    const { ms, cpu, fails } = JSON.parse(spec);
    const how = Number(task.split('.')[3]) === fails ? 'failed' : 'done';
    const state = { task, run, ms, cpu, startedAt: performance.now() };
    state.timer = setTimeout(() => this.end(state, how), ms);
    this.runs.set(task, state);
    this.record.run({ worker: this.id, task, run, type: 'start', usedCpu: this.usedCpu });
    this.accept(response);
  }

  stopRun({ task, run }, response) {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const present = this.runs.get(task);
    if (present?.run === run) {
      clearTimeout(present.timer);
      present.timer = setTimeout(() => this.end(present, 'stopped'), STOP_MS);
    }
    this.accept(response);
  }

  async hold({ until_ms: until, last_seen: lastSeen, wait_ms: waitMs = 0 }, response) {
    if (until !== undefined) this.extendLease(until);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) await this.waitForEnd(Math.min(waitMs, 2_000));
    const running = [...this.runs.values()].map(({ task, run, ms, cpu, startedAt }) => [
      task,
      run,
      '',
      Math.min(99, Math.floor(((performance.now() - startedAt) / ms) * 100)),
      cpu,
    ]);
    const ended = this.ends.slice(0, LIST_LIMIT);
    sendJson(response, 200, { born: this.born, clock_ms: this.clock, running, ended });
  }

  waitForEnd(ms) {
    return new Promise((resolve) => {
      let timer;
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, ms);
      this.waiting.add(wake);
    });
  }

  extendLease(until) {
    const limited = Math.min(until, this.clock + MAX_LEASE_MS);
    if (limited <= this.leaseUntil) return;
    this.leaseUntil = limited;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.runs.values()].forEach((state) => this.end(state, 'lapsed')),
      limited - this.clock,
    );
  }

  end(state, how) {
    const { task, run } = state;
    if (this.runs.get(task) !== state) return;
    clearTimeout(state.timer);
    this.runs.delete(task);
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    this.lastEnd += 1;
    this.ends.push([this.lastEnd, task, run, how, '']);
    this.record.run({ worker: this.id, task, run, type: how, usedCpu: this.usedCpu });
    [...this.waiting].forEach((wake) => wake());
  }
}
