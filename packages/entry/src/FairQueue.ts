import type { Environment } from '@marjorammast/protocol';
import type { Job } from './Job';

/** One task that waits for a slot. */
export type QueuedTask = { job: Job; index: number };

type Line = { job: Job; indexes: number[] }[];

type TeamLines = { urgent: Line; normal: Line; running: number };

/** What the queue needs of the configuration. */
export type QueueShares = {
  teams: Environment['teams'];
  normalShare: number;
  /** Number of entries among which a team's quota is divided. */
  entries: number;
};

const first = (line: Line): Line[number] | undefined => {
  while (line.length > 0) {
    const head = line[0];
    if (head?.job.isOpen && head.indexes.length > 0) return head;
    line.shift();
  }
  return undefined;
};

/**
 * Tasks waiting at one entry. Urgent work goes first except for every n-th start; among teams the
 * one that runs the least for its weight goes first; within a team, jobs go in order of arrival.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamLines>();

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
    const lines = this.linesOf(job.team);
    const line = job.submission?.urgent ? lines.urgent : lines.normal;
    const item = { job, indexes: [...indexes].reverse() };
    if (atFront) line.unshift(item);
    else line.push(item);
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
    const lines = this.linesOf(team);
    const item = first(lines[order[0]]) ?? first(lines[order[1]]);
    const index = item?.indexes.pop();
    if (!item || index === undefined) return undefined;
    lines.running += 1;
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
    this.ended(job.team);
    this.add(job, [index], true);
  }

  /** Counts one running task of a team as ended. */
  ended(team: string): void {
    const lines = this.linesOf(team);
    lines.running = Math.max(0, lines.running - 1);
  }

  /**
   * Removes the waiting tasks of a job.
   *
   * @param job - the job
   */
  remove(job: Job): void {
    const lines = this.teams.get(job.team);
    if (!lines) return;
    [lines.urgent, lines.normal].forEach((line) => {
      line
        .filter((item) => item.job === job)
        .forEach((item) => {
          this.waiting -= item.indexes.length;
          item.indexes.length = 0;
        });
    });
  }

  private linesOf(team: string): TeamLines {
    const known = this.teams.get(team);
    if (known) return known;
    const created: TeamLines = { urgent: [], normal: [], running: 0 };
    this.teams.set(team, created);
    return created;
  }

  private pickTeam(level: 'urgent' | 'normal'): string | undefined {
    const { teams, entries } = this.shares();
    let best: string | undefined;
    let bestUse = Infinity;
    this.teams.forEach((lines, name) => {
      const quota = teams[name];
      const limit = Math.ceil((quota?.maxRunning ?? 1) / Math.max(1, entries));
      if (lines.running >= limit || !first(lines[level])) return;
      const use = lines.running / (quota?.weight ?? 1);
      if (use >= bestUse) return;
      best = name;
      bestUse = use;
    });
    return best;
  }
}
