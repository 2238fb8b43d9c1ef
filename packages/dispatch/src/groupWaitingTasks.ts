import type { ActiveJob } from './ActiveJob';

/** Waiting tasks of a job that are placed together. */
export type TaskGroup = {
  /** Indexes of the tasks. */
  indexes: number[];
  /** Agents that are used only when there are no others. */
  avoidedAgents: ReadonlySet<string>;
  /** A worker crashed just after it had started one of the tasks. */
  isSuspect: boolean;
  /** Name of the only agent that may get the tasks; `undefined` when any may. */
  boundTo?: string;
};

/** What is known of the tasks of a job, by their index. */
export type TaskKnowledge = {
  /** Tells whether a task is suspected to have crashed a worker. */
  isSuspect: (index: number) => boolean;
  /** Tells whether a task must not be started now. */
  mustWait: (index: number) => boolean;
  /** Finds the only agent that may get a task. */
  boundTo: (index: number) => string | undefined;
};

/**
 * Groups the waiting tasks of a job for placement. Tasks that failed or stalled before, or are bound to an agent, are
 * placed one by one, since each has its own agents to avoid or to use. Tasks that are suspected to have crashed a worker are
 * placed apart from the others. Tasks that have lost too many workers are not placed.
 *
 * @param job - the job
 * @param knowledge - what is known of its tasks
 * @returns the groups in the order in which they are placed
 */
export const groupWaitingTasks = (
  job: ActiveJob,
  { isSuspect, mustWait, boundTo }: TaskKnowledge,
): TaskGroup[] => {
  const placeable = job.waitingTasks.filter((index) => !mustWait(index));
  const tasks = placeable.map((index) => ({
    index,
    avoidedAgents: job.tasks[index]?.avoidedAgents ?? new Set<string>(),
    isSuspect: isSuspect(index),
    boundTo: boundTo(index),
  }));
  const isFirstAttempt = (task: (typeof tasks)[number]) =>
    task.avoidedAgents.size === 0 && task.boundTo === undefined;
  const retries = tasks
    .filter((task) => !isFirstAttempt(task))
    .map(({ index, ...rest }) => ({ indexes: [index], ...rest }));
  const others = [true, false].map((areSuspects) => ({
    indexes: tasks
      .filter((task) => isFirstAttempt(task) && task.isSuspect === areSuspects)
      .map(({ index }) => index),
    avoidedAgents: new Set<string>(),
    isSuspect: areSuspects,
  }));
  return [...retries, ...others].filter(({ indexes }) => indexes.length > 0);
};
