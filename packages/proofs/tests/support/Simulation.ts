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
import { createObservations } from './checkGuarantees';
import type { Observations } from './checkGuarantees';

/** Data centres of the simulated deployment. */
export const DATA_CENTERS = ['north', 'east'] as const;

/** Team that submits all jobs. */
export const TEAM = 'kalahari';

/** Kind of all jobs. */
const KIND = 'slot-hold';

/** Number of slots that each target announces. */
const SLOTS = 2;

/** Time between two announcements of a target to its agent, in milliseconds. */
const ANNOUNCE_PERIOD_MS = 2_000;

/** Pause between two calls of one client, in milliseconds. */
const CLIENT_RETRY_PAUSE_MS = 250;

/** Longest time that a graceful stop waits for open work, in milliseconds. */
const STOP_TIMEOUT_MS = 12_000;

/** One process of an entry or of an agent; a restart creates another one. */
type SimulatedProcess<T> = { name: string; node: T; isAlive: boolean; isStopping: boolean };

/** Number of entries and of agents in a simulation. */
export type SimulationSize = { entries: number; agents: number };

/**
 * Simulates a deployment of entries, agents and targets in one process with Jest's fake timers, and
 * records what is visible from outside: starts and ends at targets, answers to clients, and
 * configuration changes.
 */
export class Simulation {
  readonly observations = createObservations();

  readonly store = MemoryStore.create();

  readonly network: Network;

  readonly entries: SimulatedProcess<Entry>[] = [];

  readonly agents: SimulatedProcess<Agent>[] = [];

  private readonly log = createLog('simulation', 'silent');

  private readonly metrics = createMetrics(undefined, 'simulation');

  private readonly random: () => number;

  private lastId = 0;

  /** Number of clients that have not finished. */
  waitingClients = 0;

  private isEnded = false;

  private constructor(
    readonly size: SimulationSize,
    seed: number,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.network = Network.create(this.random);
  }

  /**
   * Starts all entries and agents and applies a first environment.
   *
   * @param size - number of entries and of agents
   * @param seed - seed of the network delays and of the agents' random numbers
   * @returns the running simulation
   */
  static async create(size: SimulationSize, seed: number): Promise<Simulation> {
    const simulation = new Simulation(size, seed);
    for (let index = 0; index < size.entries; index += 1) simulation.startEntry(index);
    for (let index = 0; index < size.agents; index += 1) simulation.startAgent(index);
    await jest.advanceTimersByTimeAsync(500);
    await simulation.applyFirstEnvironment();
    await jest.advanceTimersByTimeAsync(4_500);
    return simulation;
  }

  /** Starts or restarts an entry. */
  startEntry(index: number): void {
    const name = `entry-${index}`;
    if (this.entries[index]?.isAlive || this.isEnded) return;
    const running: SimulatedProcess<Entry> = {
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
        timeline: this.createObservedTimeline(name),
      }),
    };
    this.entries[index] = running;
    this.network.listen(name, running.node.server);
    running.node.start();
  }

  /** Kills an entry. */
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

  /** Starts or restarts an agent. */
  startAgent(index: number): void {
    const name = `agent-${index}`;
    if (this.agents[index]?.isAlive || this.isEnded) return;
    const dataCenter = DATA_CENTERS[index % 2] ?? '';
    const running: SimulatedProcess<Agent> = {
      name,
      isAlive: true,
      isStopping: false,
      node: Agent.create({
        name,
        dataCenter,
        entries: Array.from({ length: this.size.entries }, (_, entry) => `entry-${entry}`),
        dial: (address, server) => this.network.dial(name, address, server),
        runTask: this.createTaskRunner(`target-${index}`, dataCenter),
        createId: this.createId,
        random: this.random,
        log: this.log,
        metrics: this.metrics,
        timeline: this.createObservedTimeline(name),
      }),
    };
    this.agents[index] = running;
    running.node.start();
    void this.announce(running);
  }

  /** Kills an agent; its target keeps running. */
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

  /**
   * Asks an entry to take some data centres out and to put all others back in, and records
   * the change.
   *
   * @param index - index of the entry, which may exceed the number of entries
   * @param out - names of the data centres to take out
   */
  async changeDataCenters(index: number, out: readonly string[]): Promise<void> {
    const running = this.entries[index % this.size.entries];
    const release = running?.node.environment.release;
    if (!running?.isAlive || !release) return;
    const change: Observations['changes'][number] = {
      askedAt: performance.now(),
      out: [...out],
    };
    this.observations.changes.push(change);
    const result = await running.node.environment.apply(
      this.createEnvironment(out),
      release.version,
      'operator',
    );
    if (result.type === 'accepted' && running.isAlive) change.acceptedAt = performance.now();
  }

  /**
   * Submits a job as a client does: until there is a final answer, it submits the job again to the
   * next entry.
   *
   * @param submission - the job
   * @param firstEntry - index of the entry that the client calls first
   */
  async submitUntilAnswered(submission: Submission, firstEntry: number): Promise<void> {
    this.waitingClients += 1;
    await this.submitWithRetries(submission, firstEntry);
    this.waitingClients -= 1;
  }

  /** Ends all faults of the network and of the store and starts every process that is down. */
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

  /** Kills all entries and agents. */
  end(): void {
    this.isEnded = true;
    this.entries.forEach((_, index) => this.killEntry(index));
    this.agents.forEach((_, index) => this.killAgent(index));
  }

  /**
   * Creates a submission.
   *
   * @param key - key of the job
   * @param runTimesMs - run time of each task, in milliseconds
   * @param urgent - whether the job is urgent
   * @returns the submission
   */
  createSubmission(key: string, runTimesMs: readonly number[], urgent: boolean): Submission {
    return {
      key,
      team: TEAM,
      kind: KIND,
      tasks: runTimesMs.map((runMs) => ({ payload: { runMs } })),
      urgent,
      deadlineMs: 8_000,
      notAfter: Date.now() + 30_000,
      idempotent: false,
    };
  }

  private readonly createId = (): string => {
    this.lastId += 1;
    return `id${this.lastId}`;
  };

  private async submitWithRetries(submission: Submission, firstEntry: number): Promise<void> {
    const job = `${submission.team}/${submission.key}`;
    let hasAnswer = false;
    for (let attempt = 0; attempt < 40 && !this.isEnded; attempt += 1) {
      const answer = await this.submitOnce(submission, firstEntry + attempt);
      if (answer) {
        hasAnswer = true;
        this.observations.answers.push({
          at: performance.now(),
          job,
          count: submission.tasks.length,
          answer,
        });
        if (!this.isRetryable(answer)) return;
      }
      await sleep(CLIENT_RETRY_PAUSE_MS);
    }
    if (!hasAnswer) this.observations.unanswered.push(job);
  }

  private isRetryable(answer: Answer): boolean {
    const retryableCodes = ['unavailable', 'overloaded', 'draining', 'ownerLost', 'stale'];
    return answer.type === 'failed' && retryableCodes.includes(answer.failure.code);
  }

  private async submitOnce(
    submission: Submission,
    firstEntry: number,
  ): Promise<Answer | undefined> {
    const candidates = this.entries.map(
      (_, offset) => this.entries[(firstEntry + offset) % this.size.entries],
    );
    const running = candidates.find((entry) => entry?.isAlive && !entry.isStopping);
    if (!running) return undefined;
    const { node } = running;
    const job = `${submission.team}/${submission.key}`;
    const answered = node.submit(submission, false);
    // A call gets no answer when the process of the called entry ends first.
    const ended = this.waitForProcessEnd(running, answered);
    const answer = await Promise.race([answered, ended]);
    const isCut = !answer && running.isStopping && !this.isEnded;
    if (isCut)
      this.observations.cutRequests.push({ at: performance.now(), job, entry: running.name });
    return answer;
  }

  private async waitForProcessEnd(
    running: SimulatedProcess<Entry>,
    call: Promise<unknown>,
  ): Promise<undefined> {
    let isDone = false;
    void call.finally(() => {
      isDone = true;
    });
    while (running.isAlive && !isDone) await sleep(50);
    return undefined;
  }

  private createTaskRunner(target: string, dataCenter: string): TaskRunner {
    return async (_target, start, signal) => {
      const { job, index, payload } = start;
      await sleep(1);
      this.observations.starts.push({ at: performance.now(), job, index, target, dataCenter });
      const { runMs } = payload as { runMs: number };
      const ended = sleep(runMs).then(() => {
        this.observations.ends.push({ at: performance.now(), job, index });
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

  private async announce(running: SimulatedProcess<Agent>): Promise<void> {
    while (running.isAlive) {
      running.node.announce({ address: running.name, slots: SLOTS, connections: 64 });
      await sleep(ANNOUNCE_PERIOD_MS);
    }
  }

  private async applyFirstEnvironment(): Promise<void> {
    void this.entries[0]?.node.environment.apply(this.createEnvironment([]), -1, 'operator');
    await jest.advanceTimersByTimeAsync(500);
  }

  private createEnvironment(out: readonly string[]): Environment {
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

  /** Creates a timeline that also records each configuration version that takes effect. */
  private createObservedTimeline(node: string): Timeline {
    const timeline = Timeline.create(node, 64);
    const process = `${node}@${this.lastId}`;
    const record = timeline.record.bind(timeline);
    timeline.record = (type, fields = {}) => {
      if (type === 'configured') {
        const version = Number(fields['version']);
        this.observations.versions.push({ at: performance.now(), node, process, version });
      }
      record(type, fields);
    };
    return timeline;
  }
}
