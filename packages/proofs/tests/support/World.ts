import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Agent } from '@marjorammast/agent';
import type { TaskRunner } from '@marjorammast/agent';
import { Entry, placeFastest } from '@marjorammast/entry';
import { environmentSchema, sleep } from '@marjorammast/protocol';
import type { Answer, Environment, Submission } from '@marjorammast/protocol';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import { MemoryStore } from './MemoryStore';
import { Network } from './Network';
import { createObservations } from './Recorder';
import type { Observations } from './Recorder';

/** Data centres of the small deployment. */
export const DATA_CENTERS = ['north', 'east'] as const;

/** Team of all jobs. */
export const TEAM = 'kalahari';

const KIND = 'slot-hold';

const SLOTS = 2;

const ANNOUNCE_MS = 2_000;

const CLIENT_PAUSE_MS = 250;

const STOP_TIMEOUT_MS = 12_000;

type Running<T> = { name: string; node: T; isAlive: boolean; isStopping: boolean };

/** Shape of the small deployment. */
export type WorldSize = { entries: number; agents: number };

/** A deployment in one process under paused time, seen from outside. */
export class World {
  readonly seen = createObservations();

  readonly store = MemoryStore.create();

  readonly network: Network;

  readonly entries: Running<Entry>[] = [];

  readonly agents: Running<Agent>[] = [];

  private readonly log = createLog('world', 'silent');

  private readonly metrics = createMetrics(undefined, 'world');

  private readonly random: () => number;

  private ids = 0;

  /** Clients that wait for an answer. */
  openClients = 0;

  private isOver = false;

  private constructor(
    readonly size: WorldSize,
    seed: number,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.network = Network.create(this.random);
  }

  /** Starts a deployment with an environment in force. */
  static async create(size: WorldSize, seed: number): Promise<World> {
    const world = new World(size, seed);
    for (let index = 0; index < size.entries; index += 1) world.startEntry(index);
    for (let index = 0; index < size.agents; index += 1) world.startAgent(index);
    await jest.advanceTimersByTimeAsync(500);
    await world.applyFirst();
    await jest.advanceTimersByTimeAsync(4_500);
    return world;
  }

  /** Starts an entry, or starts it again. */
  startEntry(index: number): void {
    const name = `entry-${index}`;
    if (this.entries[index]?.isAlive || this.isOver) return;
    const running: Running<Entry> = {
      name,
      isAlive: true,
      isStopping: false,
      node: Entry.create({
        name,
        dataCenter: DATA_CENTERS[index % 2] ?? '',
        address: name,
        prefix: '/t/',
        store: this.store.connect(() => this.network.reachesStore(name) && running.isAlive),
        dial: (address, server) => this.network.dial(name, address, server),
        place: placeFastest,
        createId: this.createId,
        log: this.log,
        metrics: this.metrics,
        timeline: this.watchVersions(name),
      }),
    };
    this.entries[index] = running;
    this.network.listen(name, running.node.server);
    running.node.start();
  }

  /** Ends an entry at once. */
  killEntry(index: number): void {
    const running = this.entries[index];
    if (!running?.isAlive) return;
    running.isAlive = false;
    this.network.kill(running.name);
    running.node.halt();
  }

  /** Stops an entry gracefully. */
  async stopEntry(index: number): Promise<void> {
    const running = this.entries[index];
    if (!running?.isAlive || running.isStopping) return;
    running.isStopping = true;
    await running.node.stop(STOP_TIMEOUT_MS);
    if (!running.isAlive) return;
    running.isAlive = false;
    this.network.kill(running.name);
  }

  /** Starts an agent, or starts it again. */
  startAgent(index: number): void {
    const name = `agent-${index}`;
    if (this.agents[index]?.isAlive || this.isOver) return;
    const dataCenter = DATA_CENTERS[index % 2] ?? '';
    const running: Running<Agent> = {
      name,
      isAlive: true,
      isStopping: false,
      node: Agent.create({
        name,
        dataCenter,
        entries: Array.from({ length: this.size.entries }, (_, entry) => `entry-${entry}`),
        dial: (address, server) => this.network.dial(name, address, server),
        runTask: this.createRunner(`target-${index}`, dataCenter),
        createId: this.createId,
        random: this.random,
        log: this.log,
        metrics: this.metrics,
        timeline: this.watchVersions(name),
      }),
    };
    this.agents[index] = running;
    running.node.start();
    void this.announce(running);
  }

  /** Ends an agent at once; its target goes on. */
  killAgent(index: number): void {
    const running = this.agents[index];
    if (!running?.isAlive) return;
    running.isAlive = false;
    this.network.kill(running.name);
    running.node.halt();
  }

  /** Stops an agent gracefully. */
  async stopAgent(index: number): Promise<void> {
    const running = this.agents[index];
    if (!running?.isAlive || running.isStopping) return;
    running.isStopping = true;
    await running.node.stop(STOP_TIMEOUT_MS);
    running.isAlive = false;
    this.network.kill(running.name);
  }

  /** Asks an entry to take data centres out, and the others in. */
  async changeDataCenters(index: number, out: readonly string[]): Promise<void> {
    const running = this.entries[index % this.size.entries];
    const release = running?.node.environment.release;
    if (!running?.isAlive || !release) return;
    const change: Observations['changes'][number] = {
      askedAt: performance.now(),
      out: [...out],
    };
    this.seen.changes.push(change);
    const result = await running.node.environment.apply(
      this.environmentWith(out),
      release.version,
      'operator',
    );
    if (result.type === 'accepted' && running.isAlive) change.acceptedAt = performance.now();
  }

  /** A client that submits a job until it is answered. */
  async submitUntilAnswered(submission: Submission, firstEntry: number): Promise<void> {
    this.openClients += 1;
    await this.tryUntilAnswered(submission, firstEntry);
    this.openClients -= 1;
  }

  /** Heals the network and the store and starts everything that is down. */
  heal(): void {
    this.store.isDown = false;
    this.store.losesReplies = false;
    this.store.isWatchSilent = false;
    this.store.delayMs = 3;
    this.network.jitterMs = 0;
    const names = [...this.entries, ...this.agents].map(({ name }) => name);
    names.forEach((name) => {
      this.network.freeze(name, false);
      [...names, 'store'].forEach((other) => this.network.cut(name, other, false));
    });
    this.entries.forEach((_, index) => this.startEntry(index));
    this.agents.forEach((_, index) => this.startAgent(index));
  }

  /** Ends everything. */
  end(): void {
    this.isOver = true;
    this.entries.forEach((_, index) => this.killEntry(index));
    this.agents.forEach((_, index) => this.killAgent(index));
  }

  /** A submission of a number of tasks. */
  createSubmission(key: string, runsMs: readonly number[], urgent: boolean): Submission {
    return {
      key,
      team: TEAM,
      kind: KIND,
      tasks: runsMs.map((runMs) => ({ payload: { runMs } })),
      urgent,
      deadlineMs: 8_000,
      notAfter: Date.now() + 30_000,
      idempotent: false,
    };
  }

  private readonly createId = (): string => {
    this.ids += 1;
    return `id${this.ids}`;
  };

  private async tryUntilAnswered(submission: Submission, firstEntry: number): Promise<void> {
    const job = `${submission.team}/${submission.key}`;
    let hasAnswer = false;
    for (let attempt = 0; attempt < 40 && !this.isOver; attempt += 1) {
      const answer = await this.submitOnce(submission, firstEntry + attempt);
      if (answer) {
        hasAnswer = true;
        this.seen.answers.push({
          at: performance.now(),
          job,
          count: submission.tasks.length,
          answer,
        });
        if (!this.isWorthRetry(answer)) return;
      }
      await sleep(CLIENT_PAUSE_MS);
    }
    if (!hasAnswer) this.seen.unanswered.push(job);
  }

  private isWorthRetry(answer: Answer): boolean {
    const worth = ['unavailable', 'overloaded', 'draining', 'ownerLost', 'stale'];
    return answer.type === 'failed' && worth.includes(answer.failure.code);
  }

  private async submitOnce(submission: Submission, first: number): Promise<Answer | undefined> {
    const order = this.entries.map(
      (_, offset) => this.entries[(first + offset) % this.size.entries],
    );
    const running = order.find((entry) => entry?.isAlive && !entry.isStopping);
    if (!running) return undefined;
    const { node } = running;
    const job = `${submission.team}/${submission.key}`;
    const answered = node.submit(submission, false);
    // A call ends without an answer when the process that serves it ends.
    const ended = this.untilEnded(running, answered);
    const answer = await Promise.race([answered, ended]);
    const isCut = !answer && running.isStopping && !this.isOver;
    if (isCut) this.seen.cut.push({ at: performance.now(), job, entry: running.name });
    return answer;
  }

  private async untilEnded(running: Running<Entry>, call: Promise<unknown>): Promise<undefined> {
    let isDone = false;
    void call.finally(() => {
      isDone = true;
    });
    while (running.isAlive && !isDone) await sleep(50);
    return undefined;
  }

  private createRunner(target: string, dataCenter: string): TaskRunner {
    return async (_target, start, signal) => {
      const { job, index, payload } = start;
      await sleep(1);
      this.seen.starts.push({ at: performance.now(), job, index, target, dataCenter });
      const { runMs } = payload as { runMs: number };
      const ended = sleep(runMs).then(() => {
        this.seen.ends.push({ at: performance.now(), job, index });
      });
      const aborted = new Promise<boolean>((resolve) => {
        signal.addEventListener('abort', () => resolve(true));
      });
      if (await Promise.race([ended.then(() => false), aborted])) {
        return { type: 'ended', outcome: { type: 'unknown', detail: 'cancelled' } };
      }
      return { type: 'ended', outcome: { type: 'done', result: `${job}#${index}` } };
    };
  }

  private async announce(running: Running<Agent>): Promise<void> {
    while (running.isAlive) {
      running.node.announce({ address: running.name, slots: SLOTS, connections: 64 });
      await sleep(ANNOUNCE_MS);
    }
  }

  private async applyFirst(): Promise<void> {
    void this.entries[0]?.node.environment.apply(this.environmentWith([]), -1, 'operator');
    await jest.advanceTimersByTimeAsync(500);
  }

  private environmentWith(out: readonly string[]): Environment {
    return environmentSchema.parse({
      name: 'trial',
      teams: { [TEAM]: { maxRunning: 1_000 } },
      kinds: { [KIND]: {} },
      dataCenters: Object.fromEntries(
        DATA_CENTERS.map((name) => [
          name,
          { region: 'r', state: out.includes(name) ? 'out' : 'in' },
        ]),
      ),
    });
  }

  private watchVersions(node: string): Timeline {
    const timeline = Timeline.create(node, 64);
    const process = `${node}@${this.ids}`;
    const record = timeline.record.bind(timeline);
    timeline.record = (type, fields = {}) => {
      if (type === 'configured') {
        const version = Number(fields['version']);
        this.seen.versions.push({ at: performance.now(), node, process, version });
      }
      record(type, fields);
    };
    return timeline;
  }
}
