import { match } from 'ts-pattern';
import { CallError, MAX_CONFIGURATION_AGE_MS, failure } from '@marjorammast/protocol';
import type { Outcome, Refusal, Result } from '@marjorammast/protocol';
import type { Log, Metrics } from '@marjorammast/telemetry';
import type { AgentController, ConnectedAgent } from './AgentController';
import {
  CREDIT_REQUEST_MAX_MS,
  CREDIT_REQUEST_MS,
  AGE_MARGIN_MS,
  MAX_REQUEUES_PER_TASK,
  MAX_UNKNOWN_OUTCOMES,
} from './constants';
import { FairQueue } from './FairQueue';
import type { QueueShares, QueuedTask } from './FairQueue';
import type { Job } from './Job';
import type { Placement } from './placement';

/** Dependencies of the dispatcher. */
export type DispatcherHost = {
  agents: AgentController;
  shares: () => QueueShares;
  place: Placement;
  /** Time since the configuration was last known to be current, in milliseconds. */
  configurationAgeMs: () => number;
  /** Version of the environment in force. */
  version: () => number;
  epochOf: (shard: number) => number;
  /** Answers the job if the states of its tasks allow it. */
  conclude: (job: Job) => void;
  fail: (job: Job, reason: ReturnType<typeof failure>) => void;
  /** Requests idle credits from another entry; resolves to the number received. */
  requestCredits: (want: number, pressure: number) => Promise<number>;
  /** Called when an agent has refused a start because it knows a higher epoch of the shard. */
  epochRefused: (shard: number) => void;
  log: Log;
  metrics: Metrics;
};

/**
 * Sends waiting tasks to agents. A start is sent again only if the task certainly did not run or if
 * the submission is idempotent.
 */
export class Dispatcher {
  readonly queue: FairQueue;

  private inFlight = 0;

  private creditRequestDelayMs = CREDIT_REQUEST_MS;

  private creditTimer: NodeJS.Timeout | undefined;

  private isScheduled = false;

  private constructor(private readonly host: DispatcherHost) {
    this.queue = FairQueue.create(host.shares);
  }

  /**
   * @param host - dependencies
   * @returns a dispatcher with an empty queue
   */
  static create(host: DispatcherHost): Dispatcher {
    return new Dispatcher(host);
  }

  /** Number of starts that were sent and not answered. */
  get running(): number {
    return this.inFlight;
  }

  /** Number of waiting tasks per credit that this entry holds or uses for a running task. */
  get pressure(): number {
    return this.queue.length / Math.max(1, this.host.agents.creditPool.size + this.inFlight);
  }

  /**
   * Adds tasks to the queue.
   *
   * @param job - job of the tasks
   * @param indexes - indexes of the tasks
   */
  enqueue(job: Job, indexes: readonly number[]): void {
    // The tasks are already queued if the job was both handed over and submitted again.
    this.queue.remove(job);
    this.queue.add(job, indexes);
    this.schedule();
  }

  /** Removes the waiting tasks of an answered job and cancels the running ones. */
  cancelTasks(job: Job): void {
    this.queue.remove(job);
    job.sent.forEach(({ index, agent, incarnation }) => {
      this.host.agents.find(agent, incarnation)?.link.notify('cancel', { job: job.id, index });
    });
  }

  /**
   * Schedules a dispatch. Several calls in the same turn of the event loop lead to one dispatch.
   */
  schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.dispatch();
    });
  }

  /**
   * Asks an agent for the outcome of a task whose start was not answered. If the agent does not
   * know the task, it will refuse the start from now on, and the task returns to the queue.
   *
   * @param job - the job
   * @param index - index of the task
   * @param agent - agent to which the start was sent
   */
  async queryOutcome(job: Job, index: number, agent: ConnectedAgent): Promise<void> {
    try {
      const params = { job: job.id, index, notAfter: job.notAfter };
      const answer = await agent.link.call('outcome', params, 0);
      if (job.tasks[index]?.type !== 'sent') return;
      if (answer.type === 'finished') this.finish(job, index, answer.outcome);
      else this.requeue(job, index);
    } catch {
      // The query is repeated when the agent reconnects, until the deadline of the job.
    }
  }

  /**
   * Records an unknown outcome for a task whose agent process no longer exists.
   *
   * @param job - the job
   * @param index - index of the task
   * @param detail - description of the failure
   */
  markLost(job: Job, index: number, detail: string): void {
    this.finish(job, index, { type: 'unknown', detail });
  }

  /** Cancels the scheduled request for credits. */
  halt(): void {
    clearTimeout(this.creditTimer);
  }

  private dispatch(): void {
    // Agents refuse starts of an entry whose configuration is older than MAX_CONFIGURATION_AGE_MS.
    if (this.host.configurationAgeMs() > MAX_CONFIGURATION_AGE_MS - AGE_MARGIN_MS) return;
    let idle = this.usableAgents();
    while (idle.length > 0) {
      const task = this.queue.next();
      if (!task) return;
      if (task.job.tasks[task.index]?.type !== 'waiting') {
        this.queue.markEnded(task.job.team);
        continue;
      }
      const agent = this.pickAgent(task, idle);
      const credit = agent && this.host.agents.creditPool.take(agent.name);
      if (!agent || !credit) {
        this.queue.putBack(task);
        break;
      }
      void this.sendStart(task, agent, credit);
      idle = this.usableAgents();
    }
    if (this.queue.length > 0) this.scheduleCreditRequest();
  }

  private usableAgents(): ConnectedAgent[] {
    const { agents } = this.host;
    const usable: ConnectedAgent[] = [];
    [...agents.creditPool.agents()].forEach((name) => {
      const agent = agents.find(name);
      if (agent && agents.isUsable(agent)) usable.push(agent);
    });
    return usable;
  }

  private pickAgent(
    { job }: QueuedTask,
    idle: readonly ConnectedAgent[],
  ): ConnectedAgent | undefined {
    const kind = job.submission?.kind ?? '';
    const candidates = idle.map(({ name }) => ({
      agent: name,
      expectedMs: this.host.agents.speeds.expectedRunMs(name, kind),
    }));
    const chosen = this.host.place(candidates);
    return idle.find(({ name }) => name === chosen);
  }

  private async sendStart(
    { job, index }: QueuedTask,
    agent: ConnectedAgent,
    credit: Parameters<AgentController['start']>[1],
  ): Promise<void> {
    const { submission } = job;
    const task = submission?.tasks[index];
    if (!submission || !task) {
      this.queue.markEnded(job.team);
      return;
    }
    job.setTask(index, { type: 'sent', agent: agent.name, incarnation: agent.incarnation });
    this.inFlight += 1;
    try {
      const answer = await this.host.agents.start(agent, credit, {
        job: job.id,
        index,
        count: job.tasks.length,
        digest: job.digest,
        notAfter: job.notAfter,
        shard: job.shard,
        epoch: this.host.epochOf(job.shard),
        kind: submission.kind,
        payload: task.payload,
        deadlineMs: job.deadlineAt - performance.now(),
        version: this.host.version(),
        newsAgeMs: this.host.configurationAgeMs(),
      });
      this.handleAnswer(job, index, agent, answer);
    } catch (error) {
      this.handleCallError(job, index, agent, error);
    } finally {
      this.inFlight -= 1;
      this.queue.markEnded(job.team);
      this.schedule();
    }
  }

  private handleAnswer(
    job: Job,
    index: number,
    agent: ConnectedAgent,
    answer: Result<'start'>,
  ): void {
    if (job.tasks[index]?.type !== 'sent' || job.isReleased) return;
    match(answer)
      .with({ type: 'finished' }, ({ outcome }) => this.finish(job, index, outcome))
      .with({ type: 'refused' }, ({ refusal }) => this.handleRefusal(job, index, agent, refusal))
      .exhaustive();
  }

  private finish(job: Job, index: number, outcome: Outcome): void {
    if (outcome.type === 'unknown' && this.mayRepeat(job, index)) {
      this.requeue(job, index);
      return;
    }
    job.setTask(index, { type: 'finished', outcome });
    this.host.conclude(job);
  }

  /** Counts an unknown outcome of a task and decides whether the task may run again. */
  private mayRepeat(job: Job, index: number): boolean {
    const hasBudget = job.countUnknownOutcome(index) < MAX_UNKNOWN_OUTCOMES;
    return hasBudget && job.isOpen && job.submission?.idempotent === true;
  }

  private handleRefusal(job: Job, index: number, agent: ConnectedAgent, refusal: Refusal): void {
    this.host.metrics.count('starts.refused', 1, { refusal });
    match(refusal)
      .with('duplicate', () => void this.queryOutcome(job, index, agent))
      .with('staleEpoch', () => {
        job.setTask(index, { type: 'waiting' });
        this.host.epochRefused(job.shard);
      })
      .with('configurationBehind', () => {
        void this.host.agents.configure(agent).then(() => this.requeue(job, index));
      })
      .with('noTarget', 'staleNews', 'dataCenterOut', 'targetDraining', 'revoked', () => {
        this.host.agents.pause(agent);
        this.requeue(job, index);
      })
      .with('expired', () => {
        job.setTask(index, { type: 'waiting' });
        this.host.fail(job, failure('expired', job.verdict, 'notAfter or the deadline has passed'));
      })
      .with('staleCredit', () => this.requeue(job, index))
      .exhaustive();
  }

  private handleCallError(job: Job, index: number, agent: ConnectedAgent, error: unknown): void {
    if (job.tasks[index]?.type !== 'sent' || job.isReleased) return;
    const fault = error instanceof CallError ? error.fault : 'lost';
    match(fault)
      .with('notSent', () => this.requeue(job, index))
      .with('remote', () => void this.queryOutcome(job, index, agent))
      // The agent may have received the start. It is asked for the outcome when it reconnects.
      .with('lost', () => undefined)
      .exhaustive();
  }

  /**
   * Returns a task to the queue, or fails the job after too many requeues. Allowed only if the task
   * certainly did not run, or if the submission is idempotent.
   */
  private requeue(job: Job, index: number): void {
    job.setTask(index, { type: 'waiting' });
    if (!job.isOpen) return;
    job.requeues += 1;
    if (job.requeues > MAX_REQUEUES_PER_TASK * job.tasks.length) {
      const detail = `task ${index} was refused by every agent that was asked`;
      this.host.fail(job, failure('unplaceable', job.verdict, detail, { task: index }));
      return;
    }
    this.queue.add(job, [index], true);
    this.schedule();
  }

  private scheduleCreditRequest(): void {
    if (this.creditTimer) return;
    this.creditTimer = setTimeout(() => {
      this.creditTimer = undefined;
      if (this.queue.length > 0) void this.requestCredits();
    }, this.creditRequestDelayMs);
  }

  private async requestCredits(): Promise<void> {
    const received = await this.host.requestCredits(this.queue.length, this.pressure);
    this.creditRequestDelayMs =
      received > 0
        ? CREDIT_REQUEST_MS
        : Math.min(CREDIT_REQUEST_MAX_MS, this.creditRequestDelayMs * 2);
    this.schedule();
  }
}
