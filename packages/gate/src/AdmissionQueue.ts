import {
  NO_RESOURCES,
  QUEUE_CAPACITY_SHARE,
  addResources,
  fits,
  scaleResources,
  subtractResources,
  withoutDeficits,
} from '@marjorammast/protocol';
import type { Resources } from '@marjorammast/protocol';

/** Urgency of a task, compared over all entries. */
export type Urgency = {
  /** Priority of the job's route; lower numbers come first. */
  priority: number;
  /** Monotonic time of the job's latency objective, in milliseconds. */
  objectiveAt: number;
};

/** A task that waits until the worker has room for it. */
export type WaitingTask<T> = Urgency & {
  /** Identifies the entry connection that assigned the task. */
  ownerId: string;
  needs: Resources;
  /** Monotonic time until which it may wait, in milliseconds. */
  expiresAt: number;
  /** What is started when there is room. */
  item: T;
};

/**
 * Decision on a waiting task: start it, leave it in the queue, or give it back. A task that waits for room keeps
 * the free resources from the tasks behind it; one that waits for something else does not.
 */
export type StartDecision<R> =
  { type: 'start' } | { type: 'waitForRoom' } | { type: 'wait' } | { type: 'giveBack'; reason: R };

const byUrgency = (a: Urgency, b: Urgency): number =>
  a.priority - b.priority || a.objectiveAt - b.objectiveAt;

/**
 * The tasks that wait at an agent. Load pattern: entries with old views of the free resources send more tasks
 * than fit. If these were declined and sent again after a pause, free resources would stay idle meanwhile and
 * go to tasks regardless of urgency. Here they wait for a short time and start in the order of their urgency.
 *
 * Holds no sockets and no timers; the caller passes the time.
 */
export class AdmissionQueue<T> {
  /** In the order in which they start. */
  private tasks: WaitingTask<T>[] = [];

  private constructor() {}

  /** @returns a queue without tasks */
  static create<T>(): AdmissionQueue<T> {
    return new AdmissionQueue<T>();
  }

  /** Number of waiting tasks. */
  get size(): number {
    return this.tasks.length;
  }

  /** Resources that all waiting tasks need together. */
  get needs(): Resources {
    return this.tasks.reduce((sum, { needs }) => addResources(sum, needs), NO_RESOURCES);
  }

  /** Monotonic time at which the first of the waiting tasks expires; `Infinity` without one. */
  get nextExpiryAt(): number {
    return Math.min(Infinity, ...this.tasks.map(({ expiresAt }) => expiresAt));
  }

  /** Owners of the waiting tasks. */
  get owners(): string[] {
    return this.tasks.map(({ ownerId }) => ownerId);
  }

  /**
   * @param isWanted - the condition
   * @returns the waiting tasks that match the condition
   */
  select(isWanted: (item: T, ownerId: string) => boolean): T[] {
    return this.tasks
      .filter(({ item, ownerId }) => isWanted(item, ownerId))
      .map(({ item }) => item);
  }

  /**
   * @param urgency - urgency of a new task
   * @returns resources that the waiting tasks need together that start before the new one
   */
  needsAhead(urgency: Urgency): Resources {
    return this.tasks
      .filter((task) => byUrgency(task, urgency) <= 0)
      .reduce((sum, { needs }) => addResources(sum, needs), NO_RESOURCES);
  }

  /**
   * @param free - free resources of the worker
   * @param urgency - urgency of a new task
   * @returns the resources that are not kept for the waiting tasks that come before the new one
   */
  freeFor(free: Resources, urgency: Urgency): Resources {
    return withoutDeficits(subtractResources(free, this.needsAhead(urgency)));
  }

  /**
   * Finds the tasks for which the queue is full.
   *
   * @param needs - resources that a typical task needs
   * @param capacity - capacity of the worker
   * @returns the priority from which a task finds no place; `undefined` when there is place for all
   */
  fullFor(needs: Resources, capacity: Resources): number | undefined {
    const limit = scaleResources(capacity, QUEUE_CAPACITY_SHARE);
    const last = this.tasks[this.tasks.length - 1];
    return last && !fits(addResources(this.needs, needs), limit) ? last.priority : undefined;
  }

  /**
   * Adds a task if the waiting tasks then need at most a part of the capacity, or if it is the only one. When the
   * queue is full, tasks of lower priority are displaced by it, and among those of equal priority the last ones
   * of the entry that has most tasks waiting.
   *
   * @param task - the task
   * @param capacity - capacity of the worker
   * @returns whether the task was added, and the tasks that were removed for it
   */
  join(task: WaitingTask<T>, capacity: Resources): { isQueued: boolean; displaced: T[] } {
    const limit = scaleResources(capacity, QUEUE_CAPACITY_SHARE);
    let kept = this.tasks;
    const displaced: T[] = [];
    const isFull = () =>
      kept.length > 0 &&
      !fits(
        kept.reduce((sum, { needs }) => addResources(sum, needs), task.needs),
        limit,
      );
    while (isFull()) {
      const victim = AdmissionQueue.findVictim(kept, task);
      if (!victim) return { isQueued: false, displaced: [] };
      kept = kept.filter((other) => other !== victim);
      displaced.push(victim.item);
    }
    this.tasks = [...kept, task].sort(byUrgency);
    return { isQueued: true, displaced };
  }

  /**
   * Decides on the waiting tasks in their order and removes those that start or are given back. A task that does
   * not fit keeps the free resources from those behind it, so that large tasks do not starve behind small ones.
   *
   * @param free - free resources of the worker
   * @param decide - decides on a task, with the resources that are left for it
   * @param start - called with each task that starts
   * @returns the tasks that are given back, with the reasons
   */
  serve<R>(
    free: Resources,
    decide: (task: WaitingTask<T>, rest: Resources) => StartDecision<R>,
    start: (task: WaitingTask<T>) => void,
  ): { item: T; reason: R }[] {
    const givenBack: { item: T; reason: R }[] = [];
    const waiting = this.tasks;
    let rest = free;
    this.tasks = waiting.filter((task) => {
      const decision = decide(task, rest);
      const takesRoom = decision.type === 'start' || decision.type === 'waitForRoom';
      if (takesRoom) rest = withoutDeficits(subtractResources(rest, task.needs));
      if (decision.type === 'start') start(task);
      if (decision.type === 'giveBack')
        givenBack.push({ item: task.item, reason: decision.reason });
      return decision.type === 'wait' || decision.type === 'waitForRoom';
    });
    return givenBack;
  }

  /**
   * Removes tasks.
   *
   * @param isUnwanted - the condition
   * @returns the removed tasks
   */
  remove(isUnwanted: (task: WaitingTask<T>) => boolean): T[] {
    const removed = this.tasks.filter(isUnwanted);
    if (removed.length > 0) this.tasks = this.tasks.filter((task) => !isUnwanted(task));
    return removed.map(({ item }) => item);
  }

  /** Finds the task that a new one displaces, if there is one. */
  private static findVictim<T>(
    tasks: readonly WaitingTask<T>[],
    { priority, ownerId }: WaitingTask<T>,
  ): WaitingTask<T> | undefined {
    const last = tasks[tasks.length - 1];
    if (!last || last.priority > priority) return last;
    const equals = tasks.filter((task) => task.priority === priority);
    const countOf = (owner: string) => equals.filter((task) => task.ownerId === owner).length;
    const longest = equals.reduceRight<WaitingTask<T> | undefined>(
      (found, task) => (!found || countOf(task.ownerId) > countOf(found.ownerId) ? task : found),
      undefined,
    );
    // With a difference of one, two entries would displace each other's tasks in turn.
    return longest && countOf(longest.ownerId) > countOf(ownerId) + 1 ? longest : undefined;
  }
}
