import type { WorkerCrash } from '@marjorammast/protocol';
import { CRASH_RETENTION_MS, MAX_REMEMBERED_CRASHES } from './constants';

/** Recent crashes and silences of an agent's workers, for entries that attach later. */
export class CrashHistory {
  private crashes: { at: number; crash: WorkerCrash }[] = [];

  private constructor() {}

  /** @returns no crashes */
  static create(): CrashHistory {
    return new CrashHistory();
  }

  /**
   * Adds a report.
   *
   * @param crash - the crash, or the silence of a worker that may have crashed
   */
  add(crash: WorkerCrash): void {
    this.crashes = [...this.crashes, { at: performance.now(), crash }].slice(
      -MAX_REMEMBERED_CRASHES,
    );
  }

  /** The reports that are not older than the retention time, oldest first. */
  get recent(): WorkerCrash[] {
    const oldestKept = performance.now() - CRASH_RETENTION_MS;
    return this.crashes.filter(({ at }) => at >= oldestKept).map(({ crash }) => crash);
  }
}
