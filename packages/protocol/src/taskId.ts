/** Identifies a task in the whole system. */
export type TaskId = {
  job: string;
  /** Number of the repetition of a recurring job; 0 for other jobs. */
  occurrence: number;
  step: number;
  index: number;
};

/**
 * @param task - the task
 * @returns the key of the task in maps and log lines
 */
export const taskKey = ({ job, occurrence, step, index }: TaskId): string =>
  `${job}.${occurrence}.${step}.${index}`;
