import type { Environment } from '@marjorammast/protocol';
import type { Job } from './Job';

/** One task that waits for a slot. */
export type QueuedTask = { job: Job; index: number };

type JobList = { job: Job; indexes: number[] }[];

type TeamQueues = { urgent: JobList; normal: JobList; running: number };

/** What the queue needs of the configuration. */
export type QueueShares = {
  teams: Environment['teams'];
  normalShare: number;
  /** Number of entries among which a team's quota is divided. */
  entries: number;
};

const firstOpen = (list: JobList): JobList[number] | undefined => {
  while (list.length > 0) {
    const head = list[0];
    if (head?.job.isOpen && head.indexes.length > 0) return head;
    list.shift();
  }
  return undefined;
};

/**
 * Tasks waiting at one entry. Urgent work goes first except for every n-th start; among teams the
 * one that runs the least for its weight goes first; within a team, jobs go in order of arrival.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueues>();

  private starts = 0;

  private waiting = 0;

  private constructor(private readonly shares: () => QueueShares) {}

  /**
   * @param shares - gives the present quotas and weights
   * @returns an empty queue
   */
  static create(shares: () => QueueShares): FairQueue {
    return new FairQueue(shares);
  }

  /** Number of waiting tasks. */
  get length(): number {
    return this.waiting;
  }

  /** Tasks of a team that run. */
  runningOf(team: string): number {
    return this.teams.get(team)?.running ?? 0;
  }

  /**
   * Adds tasks of a job at the end of its team's line.
   *
   * @param job - the job
   * @param indexes - its tasks
   * @param atFront - true for tasks that were refused elsewhere
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
   * Takes the next task and counts it as running.
   *
   * @returns the task, or `undefined` when no team may start one
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
   * Puts a task back that was taken and not sent.
   *
   * @param task - the task
   */
  putBack({ job, index }: QueuedTask): void {
    this.markEnded(job.team);
    this.add(job, [index], true);
  }

  /** Counts one running task of a team as ended. */
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
