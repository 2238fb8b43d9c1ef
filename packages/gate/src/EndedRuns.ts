import { taskKey } from '@marjorammast/protocol';
import type { TaskId } from '@marjorammast/protocol';
import { ENDED_RETENTION_MS } from './constants';

/**
 * Runs that have ended recently. A list that the worker made before a run ended may still show it as
 * running.
 */
export class EndedRuns {
  private readonly ends = new Map<string, { run: number; at: number }>();

  private constructor() {}

  /** @returns an empty collection */
  static create(): EndedRuns {
    return new EndedRuns();
  }

  /**
   * Adds a run that has ended.
   *
   * @param task - task of the run
   * @param run - number of the run
   */
  add(task: TaskId, run: number): void {
    this.ends.set(taskKey(task), { run, at: performance.now() });
  }

  /**
   * Checks whether a run has ended after a list was requested, so that the list may still show it.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @param requestedAt - monotonic time of the request, in milliseconds
   * @returns true when that run, or a later run of the task, has ended since
   */
  hasEndedSince(task: TaskId, run: number, requestedAt: number): boolean {
    const ended = this.ends.get(taskKey(task));
    return ended !== undefined && run <= ended.run && ended.at >= requestedAt;
  }

  /**
   * @param task - task of the run
   * @param run - number of the run
   * @returns monotonic time at which that run ended, in milliseconds; `undefined` when it is not known
   */
  endedAt(task: TaskId, run: number): number | undefined {
    const ended = this.ends.get(taskKey(task));
    return ended?.run === run ? ended.at : undefined;
  }

  /** Removes runs whose retention time has passed. */
  expire(): void {
    const oldestKept = performance.now() - ENDED_RETENTION_MS;
    this.ends.forEach(({ at }, key) => {
      if (at < oldestKept) this.ends.delete(key);
    });
  }
}
