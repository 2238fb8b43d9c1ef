import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DispatchEntry } from '@marjorammast/dispatch';
import type {
  DispatchEntryOptions,
  JobOutcome,
  JobRequest,
  Queueing,
} from '@marjorammast/dispatch';
import { GateAgent } from '@marjorammast/gate';
import type { WorkerIdentity, WorkerReport } from '@marjorammast/gate';
import { sleep } from '@marjorammast/protocol';
import type { OperatorState, Route } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { connectRegistration } from './connectRegistration';
import { MemoryStore } from './MemoryStore';
import { MemoryWorker } from './MemoryWorker';
import type { ObservedRun, TaskSpec } from './MemoryWorker';
import { Network } from './Network';
import { createProcessTimers, runInProcess } from './processTimers';
import type { ProcessTimers } from './processTimers';

/** Data centres of the simulated deployment. */
export const DATA_CENTERS = ['north', 'east'] as const;

/** Time between two reports of a worker to its agent, in milliseconds. */
const REPORT_PERIOD_MS = 500;

/** Pause before a client without a final answer sends its job again, in milliseconds. */
const RESEND_DELAY_MS = 1_300;

/** Time that a client waits for an answer, in milliseconds. */
const CLIENT_DEADLINE_MS = 5_000;

/** Longest time of a job on any route, in milliseconds. */
const ROUTE_TIMEOUT_MS = 15_000;

/**
 * Time that a worker without an acknowledgement of its deregistration stays up after it, in
 * milliseconds.
 */
const UNACKNOWLEDGED_END_MS = 2_000;

/** Number of failed runs of one task after which its job fails. */
export const MAX_FAILED_RUNS = 2;

const createRoute = (name: string): Route => ({
  name,
  host: 'h.example',
  prefix: `/${name}/`,
  service: 'desk',
  timeoutMs: ROUTE_TIMEOUT_MS,
  targetLatencyMs: 60,
  stretch: 1.6,
  priority: 0,
  attempts: MAX_FAILED_RUNS,
  needsAdvice: false,
});

/** Sets the seeds of the workers apart, since the first numbers from similar seeds are similar. */
const SEED_MULTIPLIER = 0x9e3779b1;

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** A job as one client sends it, with the number of its tasks. */
export type SentJob = {
  id: string;
  /** Name of the route; `claims` if absent. */
  route?: string;
  tasks: number;
  spec: TaskSpec;
  estimateMs: number;
  /** Time after which the client no longer waits for an answer, in milliseconds; 5 s if absent. */
  deadlineMs?: number;
};

/**
 * @param job - a job as a client sends it
 * @returns the request that its entry reads
 */
export const createJobRequest = ({ id, tasks, spec, estimateMs }: SentJob): JobRequest => ({
  id,
  spec: JSON.stringify(spec),
  isBestEffort: true,
  repeatCount: 0,
  steps: [
    {
      count: tasks,
      needs: { cpu: spec.cpu, memoryMb: 10, accelerators: 0 },
      estimateMs,
      after: [],
      maxPerWorker: 0,
      traits: [],
    },
  ],
});

/** An answer that a client received, with the entry that gave it and the monotonic time. */
export type ObservedAnswer = { job: SentJob; entry: string; outcome: JobOutcome; at: number };

/** One process of an entry or of an agent; a restart creates another one. */
type SimulatedProcess<T> = { name: string; node: T; isAlive: boolean; timers?: ProcessTimers };

/**
 * Simulates a deployment of entries, agents and workers in one process with Jest's fake timers, and
 * records every run and every answer.
 */
export class DispatchSimulation {
  /** Every run that a worker started. */
  readonly runs: ObservedRun[] = [];

  /** A line for each start that exceeded the capacity of its worker. */
  readonly overloads: string[] = [];

  /** Every answer that a client received. */
  readonly answers: ObservedAnswer[] = [];

  /** Number of forwarded jobs by how they were answered. */
  readonly forwardAnswers: Record<string, number> = {};

  readonly network: Network;

  /** The store, in which agents register. */
  readonly store = MemoryStore.create();

  readonly workers: MemoryWorker[];

  readonly entries: SimulatedProcess<DispatchEntry>[] = [];

  readonly agents: SimulatedProcess<GateAgent>[] = [];

  private readonly log = createLog('simulation', 'silent');

  private readonly random: () => number;

  private currentState: OperatorState = {
    revision: 10,
    version: 3,
    outDataCenters: [],
    routes: ['claims', 'lookups'].map(createRoute),
  };

  /** What all agents have answered for tasks, and what they have given back. */
  readonly admissions = { taken: 0, declined: 0, queued: 0, unqueued: 0 };

  /** Number of clients that have not finished. */
  waitingClients = 0;

  private isHalted = false;

  /** Number of processes of agents that have been started. */
  private startedAgents = 0;

  private constructor(
    seed: number,
    entryCount: number,
    agentCount: number,
    cpu: number,
    private readonly utilizations: readonly number[] | undefined,
    private readonly queueing?: Queueing,
  ) {
    this.random = createRandom(seed);
    this.network = Network.create(this.random);
    const capacity = { cpu, memoryMb: 1_000, accelerators: 0 };
    this.workers = Array.from({ length: agentCount }, (_, index) =>
      MemoryWorker.create(
        `worker-${index}`,
        this.dataCenterOf(index),
        capacity,
        this.runs,
        this.overloads,
        createRandom(Math.imul(seed + index + 1, SEED_MULTIPLIER)),
      ),
    );
    for (let index = 0; index < agentCount; index += 1) this.startAgent(index);
    for (let index = 0; index < entryCount; index += 1) this.startEntry(index);
    void this.reportPeriodically();
  }

  /**
   * Starts all agents and entries.
   *
   * @param seed - seed of the network delays and of the entries' random numbers
   * @param entryCount - number of entries
   * @param agentCount - number of agents, each with one worker
   * @param cpu - CPU capacity of each worker, in thousandths of a core
   * @param utilizations - utilization of each entry, which forward jobs then; they do not if absent
   * @param queueing - how tasks wait at agents; they do not if absent
   * @returns the running simulation
   */
  static create(
    seed: number,
    entryCount: number,
    agentCount: number,
    cpu = 3_000,
    utilizations?: readonly number[],
    queueing?: Queueing,
  ): DispatchSimulation {
    return new DispatchSimulation(seed, entryCount, agentCount, cpu, utilizations, queueing);
  }

  /** Halts all entries and agents. */
  halt(): void {
    this.isHalted = true;
    this.entries.forEach(({ node }) => node.halt());
    this.agents.forEach(({ node }) => node.halt());
  }

  /**
   * Takes data centres out, as operators do, and puts all others back in.
   *
   * @param dataCenters - names of the data centres that are out
   */
  takeOut(dataCenters: readonly string[]): void {
    this.changeOperatorState({ outDataCenters: [...dataCenters] });
  }

  /**
   * Changes the state that operators have written to the store and configures the running entries
   * with it.
   *
   * @param fields - the fields that change
   * @param unreachable - indexes of the entries that the store does not notify
   */
  changeOperatorState(fields: Partial<OperatorState>, unreachable: readonly number[] = []): void {
    this.currentState = {
      ...this.currentState,
      ...fields,
      revision: this.currentState.revision + 1,
    };
    this.entries.forEach((entry, index) => {
      if (entry.isAlive && !unreachable.includes(index)) {
        entry.node.configure(this.currentState, this.currentState.revision);
      }
    });
  }

  /** The state that operators have written to the store. */
  get operatorState(): OperatorState {
    return this.currentState;
  }

  /** Kills an entry, which breaks the connections of its clients. */
  killEntry(index: number): void {
    const entry = this.entries[index];
    if (!entry?.isAlive) return;
    entry.isAlive = false;
    this.network.kill(entry.name);
    entry.node.halt();
  }

  /** Starts or restarts an entry. */
  startEntry(index: number): void {
    if (this.entries[index]?.isAlive) return;
    const name = `entry-${index}`;
    // Entries that forward jobs are paused as processes are, so that their timers wait too.
    const timers = this.utilizations && createProcessTimers();
    if (timers) this.network.setTimers(name, timers);
    const node = runInProcess(timers, () => this.createEntry(name, index));
    this.entries[index] = { name, node, isAlive: true, timers };
  }

  private createEntry(name: string, index: number): DispatchEntry {
    const node = DispatchEntry.create({
      name,
      dataCenter: this.dataCenterOf(index),
      dial: (address, server) => this.network.dial(name, address, server),
      random: this.random,
      log: this.log,
      meter: { answered: () => undefined },
      forwarding: this.createForwarding(index),
      queueing: this.queueing,
    });
    this.network.listen(name, node.server);
    node.updatePeers(
      [0, 1, 2].map((peer) => ({
        name: `entry-${peer}`,
        address: `entry-${peer}`,
        dataCenter: this.dataCenterOf(peer),
      })),
    );
    node.configure(this.currentState, this.currentState.revision);
    node.updateAgents(
      this.workers.map((_, agent) => ({
        name: `agent-${agent}`,
        address: `agent-${agent}`,
        dataCenter: this.dataCenterOf(agent),
      })),
    );
    return node;
  }

  private createForwarding(index: number): DispatchEntryOptions['forwarding'] {
    const utilization = this.utilizations?.[index];
    if (utilization === undefined) return undefined;
    return {
      highUtilization: 0.7,
      lowUtilization: 0.5,
      maxPeers: 4,
      processorCores: 1,
      readUsage: () => {
        const now = performance.now();
        return { activeMs: now * utilization, idleMs: now * (1 - utilization), processorMs: 0 };
      },
      meter: (answer) => {
        this.forwardAnswers[answer] = (this.forwardAnswers[answer] ?? 0) + 1;
      },
    };
  }

  /** Kills an agent; its worker keeps running. */
  killAgent(index: number): void {
    const agent = this.agents[index];
    if (!agent?.isAlive) return;
    agent.isAlive = false;
    this.network.kill(agent.name);
    agent.node.halt();
  }

  /** Starts or restarts an agent. */
  startAgent(index: number): void {
    if (!this.agents[index]?.isAlive) this.startAgentProcess(index, `agent-${index}`);
  }

  /**
   * Pauses the process of an agent and starts another one in its place, at another address, of which the entries
   * learn. The reports of the worker go to that one.
   *
   * @param index - index of the agent
   * @returns a function that resumes the earlier process
   */
  succeedAgent(index: number): () => void {
    const earlier = `agent-${index}`;
    this.network.freeze(earlier, true);
    this.startAgentProcess(index, `${earlier}-next`);
    const addresses = this.agents.map(({ name }, agent) => ({
      name: `agent-${agent}`,
      address: name,
      dataCenter: this.dataCenterOf(agent),
    }));
    this.entries.forEach(({ node }) => node.updateAgents(addresses));
    return () => this.network.freeze(earlier, false);
  }

  private startAgentProcess(index: number, name: string): void {
    const worker = this.workers[index];
    if (!worker) return;
    const liveness: { isAlive: boolean } = { isAlive: true };
    const timers = createProcessTimers();
    this.startedAgents += 1;
    const registration = connectRegistration(
      this.store,
      `agent-${index}`,
      `process-${this.startedAgents}`,
    );
    const options = {
      name,
      renewGeneration: () => registration.renew(),
      dataCenter: this.dataCenterOf(index),
      worker: worker.createClient({
        isAlive: () => liveness.isAlive,
        isFrozen: () => this.network.isFrozen(name),
      }),
      clock: () => performance.now(),
      log: this.log,
      meter: {
        assigned: (taken: number, declined: number) => {
          this.admissions.taken += taken;
          this.admissions.declined += declined;
        },
        ended: () => undefined,
        endContradicted: () => undefined,
        startedLate: () => undefined,
        superseded: () => undefined,
        crashed: () => undefined,
        queued: (tasks: number) => {
          this.admissions.queued += tasks;
        },
        unqueued: () => {
          this.admissions.unqueued += 1;
        },
      },
    };
    const node = runInProcess(timers, () => GateAgent.create(options));
    this.agents[index] = Object.assign(liveness, { name, node, timers });
    this.network.setTimers(name, timers);
    this.network.listen(name, node.server);
    void runInProcess(timers, () => registration.register()).then((generation) => {
      if (liveness.isAlive) runInProcess(timers, () => node.raiseGeneration(generation));
    });
  }

  /**
   * Sends a job as a client does. The client sends it once more, to the next entry, after a call
   * without an answer or with an `unfinished` outcome.
   *
   * @param job - the job
   * @param index - index of the entry that the client calls first
   * @param giveUpMs - time after which the client gives up its first call, in milliseconds; if
   *   absent, it waits until its deadline
   * @param sendsAgain - whether a client with `giveUpMs` makes a second call
   */
  async send(job: SentJob, index: number, giveUpMs?: number, sendsAgain = false): Promise<void> {
    this.waitingClients += 1;
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const entry = this.entries[(index + attempt) % this.entries.length];
      const outcome = await this.sendTo(entry, job, attempt === 0 ? giveUpMs : undefined);
      if (outcome) {
        const at = performance.now();
        this.answers.push({ job, entry: entry?.name ?? '', outcome, at });
      }
      const hasGivenUp = giveUpMs !== undefined && !sendsAgain;
      if (hasGivenUp || (outcome && outcome.type !== 'unfinished')) break;
      await sleep(RESEND_DELAY_MS);
    }
    this.waitingClients -= 1;
  }

  private async sendTo(
    entry: SimulatedProcess<DispatchEntry> | undefined,
    job: SentJob,
    giveUpMs: number | undefined,
  ): Promise<JobOutcome | undefined> {
    if (!entry?.isAlive) return undefined;
    const route = entry.node.findRoute('h.example', `/${job.route ?? 'claims'}/${job.id}`);
    if (!route) return undefined;
    const client = new AbortController();
    const isConnectionLost = () => client.signal.aborted || !entry.isAlive;
    const submission = {
      route,
      remainingMs: job.deadlineMs ?? CLIENT_DEADLINE_MS,
      signal: client.signal,
      job: createJobRequest(job),
    };
    const answered = runInProcess(entry.timers, () => entry.node.submit(submission));
    const until = performance.now() + (giveUpMs ?? job.deadlineMs ?? CLIENT_DEADLINE_MS);
    let outcome: JobOutcome | undefined;
    void answered.then((value) => {
      outcome = value;
    });
    while (!outcome && !isConnectionLost() && performance.now() < until) await sleep(5);
    if (!outcome) client.abort();
    // A killed entry sends no answer, and a client that has given up receives none.
    return entry.isAlive && !client.signal.aborted ? outcome : undefined;
  }

  private dataCenterOf(index: number): string {
    return DATA_CENTERS[index % DATA_CENTERS.length] ?? DATA_CENTERS[0];
  }

  /** Makes a worker report to its agent at once. */
  reportNow(index: number): void {
    const worker = this.workers[index];
    const agent = this.agents[index];
    const report = worker?.report();
    if (report && agent?.isAlive) runInProcess(agent.timers, () => agent.node.handleReport(report));
  }

  /**
   * Passes a report to an agent that its worker did not send just now: one that was delayed, or one
   * from another writer.
   *
   * @param index - index of the agent
   * @param report - the report
   */
  deliverReport(index: number, report: WorkerReport): void {
    if (this.isAgentRunning(index)) this.agents[index]?.node.handleReport(report);
  }

  /**
   * Passes a deregistration to an agent, which may be one of an earlier incarnation that was delayed.
   *
   * @param index - index of the agent
   * @param identity - the incarnation that sent it
   */
  deliverDeregistration(index: number, { id }: Pick<WorkerIdentity, 'id' | 'born'>): void {
    if (this.isAgentRunning(index)) this.agents[index]?.node.handleDeregistration(id);
  }

  /**
   * Makes a worker that leaves deregister. It ends with the acknowledgement, and starts again under its
   * id. Without an acknowledgement it continues with its runs for 2 s before.
   *
   * @param index - index of the worker
   * @param isAnswerLost - true when the agent handles the deregistration but its answer is lost
   */
  deregister(index: number, isAnswerLost: boolean): void {
    const worker = this.workers[index];
    if (!worker) return;
    const isAcknowledged = this.isAgentRunning(index) && !isAnswerLost;
    this.deliverDeregistration(index, worker.identity);
    if (isAcknowledged) worker.leave();
    else setTimeout(() => worker.leave(), UNACKNOWLEDGED_END_MS);
  }

  private isAgentRunning(index: number): boolean {
    const agent = this.agents[index];
    return agent?.isAlive === true && !this.network.isFrozen(agent.name);
  }

  private async reportPeriodically(): Promise<void> {
    while (!this.isHalted) {
      this.workers.forEach((_, index) => this.reportNow(index));
      await sleep(REPORT_PERIOD_MS);
    }
  }
}
