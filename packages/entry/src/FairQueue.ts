import type { Environment } from '@marjorammast/protocol';
import type { Job } from './Job';

/** One task that waits for an idle slot of an agent. */
export type QueuedTask = { job: Job; index: number };

/** Jobs in the order in which they are served, with their waiting tasks in reverse order. */
type JobList = { job: Job; indexes: number[] }[];

type TeamQueues = { urgent: JobList; normal: JobList; running: number };

/** The part of the configuration that the queue uses. */
export type QueueShares = {
  teams: Environment['teams'];
  /** Every n-th start prefers a job that is not urgent. */
  normalShare: number;
  /** Number of entries; each of them may use an equal part of a team's quota. */
  entries: number;
};

/** Returns the first open job with waiting tasks, and removes all jobs before it from the list. */
const firstOpen = (list: JobList): JobList[number] | undefined => {
  while (list.length > 0) {
    const head = list[0];
    if (head?.job.isOpen && head.indexes.length > 0) return head;
    list.shift();
  }
  return undefined;
};

/**
 * Weighted fair queue of the tasks that wait at one entry. Urgent jobs have priority, except at
 * every n-th start, which prefers jobs that are not urgent, so that these do not starve. Among the
 * teams, the one with the fewest running tasks relative to its weight is served first. Within a
 * team, jobs are served in order of arrival.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueues>();

  private starts = 0;

  private waiting = 0;

  private constructor(private readonly shares: () => QueueShares) {}

  /**
   * @param shares - returns the current quotas and weights
   * @returns an empty queue
   */
  static create(shares: () => QueueShares): FairQueue {
    return new FairQueue(shares);
  }

  /** Number of waiting tasks. */
  get length(): number {
    return this.waiting;
  }

  /** Number of running tasks of a team. */
  runningOf(team: string): number {
    return this.teams.get(team)?.running ?? 0;
  }

  /**
   * Adds tasks of a job to the queue of its team.
   *
   * @param job - the job
   * @param indexes - indexes of the tasks
   * @param atFront - true to put the tasks before all others, for tasks that are retried
   */
  add(job: Job, indexes: readonly number[], atFront = false): void {
    if (indexes.length === 0) return;
    const queues = this.queuesOf(job.team);
    const list = job.submission?.urgent ? queues.urgent : queues.normal;
    const item = { job, indexes: [...indexes].reverse() };
    if (atFront) list.unshift(item);
    else list.push(item);
    this.waiting += indexes.length;
  }

  /**
   * Removes the next task from the queue and counts it as running.
   *
   * @returns the task, or `undefined` when no task waits or every team with waiting tasks has
   *   reached this entry's part of its quota
   */
  next(): QueuedTask | undefined {
    const { normalShare } = this.shares();
    const preferNormal = (this.starts + 1) % normalShare === 0;
    const order = preferNormal ? (['normal', 'urgent'] as const) : (['urgent', 'normal'] as const);
    const team = this.pickTeam(order[0]) ?? this.pickTeam(order[1]);
    if (!team) return undefined;
    const queues = this.queuesOf(team);
    const item = firstOpen(queues[order[0]]) ?? firstOpen(queues[order[1]]);
    const index = item?.indexes.pop();
    if (!item || index === undefined) return undefined;
    queues.running += 1;
    this.starts += 1;
    this.waiting -= 1;
    return { job: item.job, index };
  }

  /**
   * Puts a task that `next` has removed, but that was not sent, at the front of the queue again.
   *
   * @param task - the task
   */
  putBack({ job, index }: QueuedTask): void {
    this.markEnded(job.team);
    this.add(job, [index], true);
  }

  /** Decrements the number of running tasks of a team. */
  markEnded(team: string): void {
    const queues = this.queuesOf(team);
    queues.running = Math.max(0, queues.running - 1);
  }

  /**
   * Removes the waiting tasks of a job.
   *
   * @param job - the job
   */
  remove(job: Job): void {
    const queues = this.teams.get(job.team);
    if (!queues) return;
    [queues.urgent, queues.normal].forEach((list) => {
      list
        .filter((item) => item.job === job)
        .forEach((item) => {
          this.waiting -= item.indexes.length;
          item.indexes.length = 0;
        });
    });
  }

  private queuesOf(team: string): TeamQueues {
    const known = this.teams.get(team);
    if (known) return known;
    const created: TeamQueues = { urgent: [], normal: [], running: 0 };
    this.teams.set(team, created);
    return created;
  }

  private pickTeam(level: 'urgent' | 'normal'): string | undefined {
    const { teams, entries } = this.shares();
    let best: string | undefined;
    let lowestLoad = Infinity;
    this.teams.forEach((queues, name) => {
      const quota = teams[name];
      const limit = Math.ceil((quota?.maxRunning ?? 1) / Math.max(1, entries));
      if (queues.running >= limit || !firstOpen(queues[level])) return;
      const load = queues.running / (quota?.weight ?? 1);
      if (load >= lowestLoad) return;
      best = name;
      lowestLoad = load;
    });
    return best;
  }
}
