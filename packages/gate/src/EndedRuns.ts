import { taskKey } from '@marjorammast/protocol';
import type { TaskName } from '@marjorammast/protocol';
import { ENDED_MEMORY_MS } from './constants';

/** Runs that have ended lately, to recognise them in a list that was made before. */
export class EndedRuns {
  private readonly ends = new Map<string, { run: number; at: number }>();

  private constructor() {}

  /** @returns an empty memory */
  static create(): EndedRuns {
    return new EndedRuns();
  }

  /**
   * Notes the end of a run.
   *
   * @param task - its task
   * @param run - its number
   */
  note(task: TaskName, run: number): void {
    this.ends.set(taskKey(task), { run, at: performance.now() });
  }

  /**
   * @param task - a task
   * @param run - number of one of its runs
   * @returns true when that run, or a later one, has ended lately
   */
  has(task: TaskName, run: number): boolean {
    const ended = this.ends.get(taskKey(task));
    return ended !== undefined && run <= ended.run;
  }

  /** Forgets what ended long ago. */
  expire(): void {
    const before = performance.now() - ENDED_MEMORY_MS;
    this.ends.forEach(({ at }, key) => {
      if (at < before) this.ends.delete(key);
    });
  }
}
