import { match } from 'ts-pattern';
import { NO_RESOURCES, subtractResources, taskKey, withoutDeficits } from '@marjorammast/protocol';
import type { DeclineReason, Params, Resources, WorkerView } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { AdmissionQueue } from './AdmissionQueue';
import type { StartDecision, Urgency, WaitingTask } from './AdmissionQueue';
import type { Admission } from './admit';
import { MAX_ASSIGNMENT_AGE_MS, MAX_QUEUE_MS } from './constants';
import { estimateQueueWait, meanNeeds } from './estimateQueueWait';
import type { Run } from './run';

type Assignment = Params<'assign'>;

/** A task of an assignment that has not been sent to the worker. */
export type QueuedStart = Pick<Run, 'task' | 'run' | 'ownerId'> & {
  /** The assignment, with this task alone. */
  assignment: Assignment;
  /** Monotonic time at which it was queued, in milliseconds. */
  queuedAt: number;
};

/** Why a queued task was given back to its entry. */
export type UnqueuedReason =
  DeclineReason | 'displaced' | 'expired' | 'abandoned' | 'entryLost' | 'workerLost';

/** State of the queue as it is reported to the entries. */
export type QueueReport = Pick<WorkerView, 'queueMs' | 'queueFullFor'>;

/** State of the worker as the queue sees it. */
export type QueuedWorker = {
  runs: readonly Run[];
  capacity: Resources;
  slowness: number;
};

/** What the queue needs from its agent. */
export type QueuedStartsHost = {
  worker: () => QueuedWorker;
  /** Resources that neither runs nor, on probation, a suspected run keep from others. */
  free: () => Resources;
  /** Decides on an assignment anew, with the free resources that are left for it. */
  admit: (assignment: Assignment, free: Resources) => Admission;
  /** False once an entry has been silent for so long that its runs are stopped. */
  isHeard: (ownerId: string) => boolean;
  start: (queued: QueuedStart) => void;
  /** Called with each task that is given back after `ms`; it has not been sent to the worker. */
  onUnqueued: (queued: QueuedStart, reason: UnqueuedReason, ms: number) => void;
  log: Log;
};

const urgencyOf = ({ priority = Infinity, objectiveInMs = 0 }: Assignment): Urgency => ({
  // Entries that queue nothing send no priority, so that waiting tasks of others come first.
  priority,
  objectiveAt: performance.now() + objectiveInMs,
});

/**
 * The queue of tasks at an agent with its expiry timer, and the checks before a task starts. There is no timer
 * while no task waits.
 */
export class QueuedStarts {
  private readonly queue = AdmissionQueue.create<QueuedStart>();

  private isServing = false;

  private expiryTimer: NodeJS.Timeout | undefined;

  /** True once an entry has asked to queue tasks; until then the queue is not reported. */
  private isInUse = false;

  private constructor(private readonly host: QueuedStartsHost) {}

  /**
   * @param host - what the queue needs from its agent
   * @returns a queue without tasks
   */
  static create(host: QueuedStartsHost): QueuedStarts {
    return new QueuedStarts(host);
  }

  /** Number of waiting tasks. */
  get size(): number {
    return this.queue.size;
  }

  /** Identifiers of the connections whose entries have tasks waiting. */
  get owners(): string[] {
    return this.queue.owners;
  }

  /** Free resources that are not kept for waiting tasks, as they are reported to the entries. */
  get free(): Resources {
    const free = this.host.free();
    return this.size === 0 ? free : withoutDeficits(subtractResources(free, this.queue.needs));
  }

  /** Report of the queue, for a task that needs as much as a run does on average. */
  get report(): QueueReport {
    if (!this.isInUse) return {};
    const { runs, capacity, slowness } = this.host.worker();
    const needs = meanNeeds(runs);
    const state = { runs, slowness, free: this.host.free(), needs, needsAhead: this.queue.needs };
    const waitMs = estimateQueueWait(state, performance.now());
    if (!Number.isFinite(waitMs)) return {};
    return { queueMs: waitMs, queueFullFor: this.queue.fullFor(needs, capacity) };
  }

  /**
   * @param ownerId - identifier of an entry's connection
   * @returns the tasks of the entry that wait
   */
  tasksOf(ownerId: string): QueuedStart[] {
    return this.size === 0 ? [] : this.queue.select((_, owner) => owner === ownerId);
  }

  /**
   * @param assignment - a new assignment
   * @param free - free resources of the worker
   * @returns the resources that are not kept for waiting tasks that come before the assignment
   */
  freeFor(assignment: Assignment, free: Resources): Resources {
    return this.size === 0 ? free : this.queue.freeFor(free, urgencyOf(assignment));
  }

  /**
   * Queues the tasks of an assignment that were not admitted for lack of room, as far as it asks for that.
   *
   * @param assignment - the assignment
   * @param runs - pairs of task index and run number
   * @param ownerId - identifies the entry connection that assigned the tasks
   * @param ageMs - age of the assignment, in milliseconds
   * @returns indexes of the queued tasks
   */
  join(assignment: Assignment, runs: Assignment['runs'], ownerId: string, ageMs: number): number[] {
    const { isSuspect, maxQueueMs = 0 } = assignment;
    if (maxQueueMs <= 0) return [];
    this.isInUse = true;
    // A suspected task must start apart from others, which a queue cannot guarantee.
    if (isSuspect) return [];
    const waitMs = Math.min(maxQueueMs, MAX_QUEUE_MS, MAX_ASSIGNMENT_AGE_MS - ageMs);
    const queued = runs.filter(([index, run]) =>
      this.joinTask({ ...assignment, runs: [[index, run]] }, ownerId, waitMs),
    );
    this.scheduleExpiry();
    return queued.map(([index]) => index);
  }

  /** Schedules the decisions on the waiting tasks after the current poll of the sockets. */
  schedule(): void {
    if (this.isServing || this.size === 0) return;
    this.isServing = true;
    // After a pause of the process, messages of the entries are read before their tasks start.
    setImmediate(() => {
      this.isServing = false;
      this.serve();
    });
  }

  /**
   * Gives back the tasks that match a condition.
   *
   * @param isUnwanted - the condition
   * @param reason - why
   */
  giveBack(isUnwanted: (queued: QueuedStart) => boolean, reason: UnqueuedReason): void {
    if (this.size === 0) return;
    const removed = this.queue.remove(({ item }) => isUnwanted(item));
    removed.forEach((queued) => this.unqueue(queued, reason));
    // The room that was kept for them may be enough for others.
    this.schedule();
  }

  /** Stops the timer. */
  halt(): void {
    clearTimeout(this.expiryTimer);
  }

  private joinTask(assignment: Assignment, ownerId: string, waitMs: number): boolean {
    const [row] = assignment.runs;
    if (!row) return false;
    const [index, run] = row;
    const { job, occurrence, step, needs } = assignment;
    const now = performance.now();
    const urgency = urgencyOf(assignment);
    const worker = this.host.worker();
    const needsAhead = this.queue.needsAhead(urgency);
    // A task that would expire is better declined at once.
    const state = { ...worker, free: this.host.free(), needs, needsAhead };
    if (estimateQueueWait(state, now) > waitMs) return false;
    const task = { job, occurrence, step, index };
    const item = { task, run, ownerId, assignment, queuedAt: now };
    const { isQueued, displaced } = this.queue.join(
      { ...urgency, ownerId, needs, expiresAt: now + waitMs, item },
      worker.capacity,
    );
    displaced.forEach((queued) => this.unqueue(queued, 'displaced'));
    return isQueued;
  }

  private unqueue(queued: QueuedStart, reason: UnqueuedReason): void {
    const ms = Math.round(performance.now() - queued.queuedAt);
    this.host.log.info({ task: taskKey(queued.task), run: queued.run, reason, ms }, 'unqueued');
    this.host.onUnqueued(queued, reason, ms);
  }

  private serve(): void {
    const free = this.size > 0 ? this.host.free() : NO_RESOURCES;
    const now = performance.now();
    const givenBack = this.queue.serve<UnqueuedReason>(
      free,
      (task, rest) => this.decide(task, rest, now),
      ({ item }) => this.host.start(item),
    );
    givenBack.forEach(({ item, reason }) => this.unqueue(item, reason));
    this.scheduleExpiry();
  }

  /** Decides on a waiting task. All conditions of its admission are checked again. */
  private decide(
    { item, expiresAt, ownerId }: WaitingTask<QueuedStart>,
    rest: Resources,
    now: number,
  ): StartDecision<UnqueuedReason> {
    if (!this.host.isHeard(ownerId)) return { type: 'giveBack', reason: 'entryLost' };
    if (now >= expiresAt) return { type: 'giveBack', reason: 'expired' };
    const { count, reason = 'room' } = this.host.admit(item.assignment, rest);
    if (count > 0) return { type: 'start' };
    return match(reason)
      .with('room', () => ({ type: 'waitForRoom' }) as const)
      .with('workerLimit', 'probation', () => ({ type: 'wait' }) as const)
      .otherwise((declined) => ({ type: 'giveBack', reason: declined }) as const);
  }

  private scheduleExpiry(): void {
    clearTimeout(this.expiryTimer);
    if (this.size === 0) return;
    const delayMs = Math.max(1, Math.ceil(this.queue.nextExpiryAt - performance.now()));
    this.expiryTimer = setTimeout(() => this.schedule(), delayMs);
  }
}
