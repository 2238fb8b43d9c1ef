/** Names a task across the system. */
export type TaskName = {
  job: string;
  /** Number of the occurrence, for jobs that repeat; 0 otherwise. */
  occurrence: number;
  step: number;
  index: number;
};

/**
 * @param task - the task
 * @returns a key for maps and log lines
 */
export const taskKey = ({ job, occurrence, step, index }: TaskName): string =>
  `${job}.${occurrence}.${step}.${index}`;
