import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DispatchEntry } from '@marjorammast/dispatch';
import type { JobOutcome } from '@marjorammast/dispatch';
import { GateAgent } from '@marjorammast/gate';
import { sleep } from '@marjorammast/protocol';
import type { OperatorState } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { MemoryWorker } from './MemoryWorker';
import type { SeenRun, SpecText } from './MemoryWorker';
import { Network } from './Network';

/** Data centres of the deployment. */
export const CENTERS = ['north', 'east'] as const;

const REPORT_MS = 500;

/** Time after which a client without an answer sends its job again, in milliseconds. */
const RESEND_MS = 1_300;

const CLIENT_DEADLINE_MS = 5_000;

/** A job as one client sends it. */
export type SentJob = { id: string; tasks: number; spec: SpecText; estimateMs: number };

/** What one client saw of its job. */
export type SeenAnswer = { job: SentJob; entry: string; outcome: JobOutcome; at: number };

type Node<T> = { name: string; node: T; isAlive: boolean };

/** Failed runs of a task after which its job has failed. */
const ATTEMPTS = 2;

/** Entries, agents and workers in one process under paused time. */
export class DispatchWorld {
  readonly runs: SeenRun[] = [];

  readonly overloads: string[] = [];

  readonly answers: SeenAnswer[] = [];

  readonly network: Network;

  readonly workers: MemoryWorker[];

  readonly entries: Node<DispatchEntry>[] = [];

  readonly agents: Node<GateAgent>[] = [];

  private readonly log = createLog('world', 'silent');

  private readonly random: () => number;

  private state: OperatorState = {
    revision: 10,
    version: 3,
    outDataCenters: [],
    routes: [
      {
        name: 'claims',
        host: 'h.example',
        prefix: '/claims/',
        service: 'desk',
        timeoutMs: CLIENT_DEADLINE_MS,
        targetLatencyMs: 60,
        stretch: 1.6,
        priority: 0,
        attempts: ATTEMPTS,
        needsAdvice: false,
      },
    ],
  };

  /** Clients that wait for an answer. */
  openClients = 0;

  private isOver = false;

  private constructor(seed: number, entryCount: number, agentCount: number, cpu: number) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.network = Network.create(this.random);
    const capacity = { cpu, memoryMb: 1_000, accelerators: 0 };
    this.workers = Array.from({ length: agentCount }, (_, index) =>
      MemoryWorker.create(
        `worker-${index}`,
        this.centerOf(index),
        capacity,
        this.runs,
        this.overloads,
      ),
    );
    for (let index = 0; index < agentCount; index += 1) this.startAgent(index);
    for (let index = 0; index < entryCount; index += 1) this.startEntry(index);
    void this.reportForever();
  }

  /**
   * @param seed - seed of delays and jitter
   * @param entryCount - number of entries
   * @param agentCount - number of agents, each with a worker
   * @param cpu - room of each worker, in thousandths of a core
   */
  static create(seed: number, entryCount: number, agentCount: number, cpu = 3_000): DispatchWorld {
    return new DispatchWorld(seed, entryCount, agentCount, cpu);
  }

  /** Ends everything. */
  halt(): void {
    this.isOver = true;
    this.entries.forEach(({ node }) => node.halt());
    this.agents.forEach(({ node }) => node.halt());
  }

  /** Takes data centres out, as operators do. */
  takeOut(centers: readonly string[]): void {
    this.change({ outDataCenters: [...centers] });
  }

  /**
   * Changes what operators have written.
   *
   * @param fields - what changes
   * @param unreached - entries that the store does not tell
   */
  change(fields: Partial<OperatorState>, unreached: readonly number[] = []): void {
    this.state = { ...this.state, ...fields, revision: this.state.revision + 1 };
    this.entries.forEach((entry, index) => {
      if (entry.isAlive && !unreached.includes(index)) entry.node.configure(this.state);
    });
  }

  /** What operators have written. */
  get operatorState(): OperatorState {
    return this.state;
  }

  /** Kills an entry; its clients see their connections break. */
  killEntry(index: number): void {
    const entry = this.entries[index];
    if (!entry?.isAlive) return;
    entry.isAlive = false;
    this.network.kill(entry.name);
    entry.node.halt();
  }

  /** Starts an entry, or starts it again. */
  startEntry(index: number): void {
    if (this.entries[index]?.isAlive) return;
    const name = `entry-${index}`;
    const node = DispatchEntry.create({
      name,
      dataCenter: this.centerOf(index),
      dial: (address, server) => this.network.dial(name, address, server),
      random: this.random,
      log: this.log,
      meter: { answered: () => undefined },
    });
    this.network.listen(name, node.server);
    node.listPeers(
      [0, 1, 2].map((peer) => ({
        name: `entry-${peer}`,
        address: `entry-${peer}`,
        dataCenter: this.centerOf(peer),
      })),
    );
    node.configure(this.state);
    node.listAgents(
      this.workers.map((_, agent) => ({
        name: `agent-${agent}`,
        address: `agent-${agent}`,
        dataCenter: this.centerOf(agent),
      })),
    );
    this.entries[index] = { name, node, isAlive: true };
  }

  /** Kills an agent; its worker works on. */
  killAgent(index: number): void {
    const agent = this.agents[index];
    if (!agent?.isAlive) return;
    agent.isAlive = false;
    this.network.kill(agent.name);
    agent.node.halt();
  }

  /** Starts an agent, or starts it again. */
  startAgent(index: number): void {
    const worker = this.workers[index];
    if (!worker || this.agents[index]?.isAlive) return;
    const name = `agent-${index}`;
    const entry: { isAlive: boolean } = { isAlive: true };
    const node = GateAgent.create({
      name,
      dataCenter: this.centerOf(index),
      port: worker.port(() => entry.isAlive),
      clock: () => performance.now(),
      log: this.log,
      meter: { assigned: () => undefined, ended: () => undefined },
    });
    this.agents[index] = Object.assign(entry, { name, node });
    this.network.listen(name, node.server);
  }

  /**
   * Sends a job as a client does: again at another entry when there was no answer.
   *
   * @param job - the job
   * @param index - entry that the client is sent to first
   * @param leaveMs - the client gives up the call after this time, if given
   * @param returns - true when it then sends the job again
   */
  async send(job: SentJob, index: number, leaveMs?: number, returns = false): Promise<void> {
    this.openClients += 1;
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const entry = this.entries[(index + attempt) % this.entries.length];
      const outcome = await this.sendTo(entry, job, attempt === 0 ? leaveMs : undefined);
      if (outcome) {
        const at = performance.now();
        this.answers.push({ job, entry: entry?.name ?? '', outcome, at });
      }
      const hasLeft = leaveMs !== undefined && !returns;
      if (hasLeft || (outcome && outcome.type !== 'unfinished')) break;
      await sleep(RESEND_MS);
    }
    this.openClients -= 1;
  }

  private async sendTo(
    entry: Node<DispatchEntry> | undefined,
    job: SentJob,
    leaveMs: number | undefined,
  ): Promise<JobOutcome | undefined> {
    if (!entry?.isAlive) return undefined;
    const route = entry.node.findRoute('h.example', `/claims/${job.id}`);
    if (!route) return undefined;
    const client = new AbortController();
    const isCut = () => client.signal.aborted || !entry.isAlive;
    const answered = entry.node.submit({
      route,
      leftMs: CLIENT_DEADLINE_MS,
      signal: client.signal,
      job: {
        id: job.id,
        spec: JSON.stringify(job.spec),
        isBestEffort: true,
        repeatCount: 0,
        steps: [
          {
            count: job.tasks,
            needs: { cpu: job.spec.cpu, memoryMb: 10, accelerators: 0 },
            estimateMs: job.estimateMs,
            after: [],
            maxPerWorker: 0,
            traits: [],
          },
        ],
      },
    });
    const until = performance.now() + (leaveMs ?? CLIENT_DEADLINE_MS);
    let outcome: JobOutcome | undefined;
    void answered.then((value) => {
      outcome = value;
    });
    while (!outcome && !isCut() && performance.now() < until) await sleep(5);
    if (!outcome) client.abort();
    // A dead entry answers nobody, and a client that has left hears nothing.
    return entry.isAlive && !client.signal.aborted ? outcome : undefined;
  }

  private centerOf(index: number): string {
    return CENTERS[index % CENTERS.length] ?? CENTERS[0];
  }

  /** Lets a worker report to its agent now. */
  reportNow(index: number): void {
    const worker = this.workers[index];
    const agent = this.agents[index];
    if (worker && agent?.isAlive) agent.node.report(worker.report());
  }

  private async reportForever(): Promise<void> {
    while (!this.isOver) {
      this.workers.forEach((_, index) => this.reportNow(index));
      await sleep(REPORT_MS);
    }
  }
}

/** A broken promise. */
export type Violation = { rule: string; detail: string };

/**
 * Checks a world from outside.
 *
 * @param world - what was seen
 * @returns every broken promise
 */
export const checkDispatch = ({
  runs,
  overloads,
  answers,
}: Pick<DispatchWorld, 'runs' | 'overloads' | 'answers'>): Violation[] => {
  const byTask = new Map<string, SeenRun[]>();
  runs.forEach((run) => byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]));
  const twice = [...byTask.values()].flatMap((list) => {
    const order = [...list].sort((a, b) => a.from - b.from);
    return order.slice(1).flatMap((run, index) => {
      const previous = order[index];
      return previous && previous.to > run.from
        ? [{ rule: 'twice', detail: `${run.task} on ${previous.worker} and ${run.worker}` }]
        : [];
    });
  });
  const isDone = (task: string) => byTask.get(task)?.some(({ how }) => how === 'done') ?? false;
  const untrue = answers.flatMap(({ job, outcome, at }) => {
    const tasks = Array.from({ length: job.tasks }, (_, index) => `${job.id}.0.0.${index}`);
    if (outcome.type === 'completed' && !tasks.every(isDone)) {
      return [{ rule: 'partial', detail: job.id }];
    }
    const hasRun = tasks.some((task) => byTask.get(task)?.some(({ to }) => to > at - 1));
    const isLast = answers.filter((answer) => answer.job.id === job.id).pop()?.at === at;
    return outcome.type === 'refused' && isLast && hasRun
      ? [{ rule: 'falseRefusal', detail: job.id }]
      : [];
  });
  const falseFailures = answers.flatMap(({ job, outcome }) => {
    const failures = Array.from({ length: job.tasks }, (_, index) =>
      byTask.get(`${job.id}.0.0.${index}`)?.filter(({ how }) => how === 'failed'),
    ).map((failed) => failed?.length ?? 0);
    return outcome.type === 'failed' && Math.max(...failures) < ATTEMPTS
      ? [{ rule: 'falseFailure', detail: job.id }]
      : [];
  });
  const leaving = runs
    .filter(({ isForbidden }) => isForbidden)
    .map(({ task, worker }) => ({ rule: 'leaving', detail: `${task} on ${worker}` }));
  const room = overloads.map((detail) => ({ rule: 'room', detail }));
  return [...twice, ...untrue, ...falseFailures, ...leaving, ...room];
};
