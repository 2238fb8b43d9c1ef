import type { EntryLoadReport } from '@marjorammast/protocol';
import { acceptanceThreshold, nextForwardedShare } from './chooseForwarding';
import type { UtilizationThresholds } from './chooseForwarding';

/** Time that a process has used since its start, in milliseconds. */
export type ProcessUsage = {
  /** Time in which its event loop was active. */
  activeMs: number;
  /** Time in which its event loop was idle. */
  idleMs: number;
  /** Processor time of all its threads. */
  processorMs: number;
};

/** Weight of the newest window in the smoothed utilization. */
const NEWEST_WEIGHT = 0.75;

const NO_USAGE: ProcessUsage = { activeMs: 0, idleMs: 0, processorMs: 0 };

/**
 * @returns the usage of this process
 */
export const readProcessUsage = (): ProcessUsage => {
  const { active, idle } = performance.eventLoopUtilization();
  const { user, system } = process.cpuUsage();
  return { activeMs: active, idleMs: idle, processorMs: (user + system) / 1_000 };
};

/**
 * Load of an entry, and the part of its new jobs that it forwards. Load pattern: the processor of an entry is at its
 * limit while others have time. The utilization is the larger of two: that of the event loop, which includes the time in
 * which a process over its quota is throttled, and the used part of the quota, which rises before the throttling begins.
 */
export class EntryLoad {
  private usage: ProcessUsage = NO_USAGE;

  private smoothed = 0;

  private share = 0;

  /** Sum of the shares since the last forwarded job. */
  private shareSum = 0;

  private constructor(
    private readonly thresholds: UtilizationThresholds,
    private readonly processorCores: number,
  ) {}

  /**
   * @param thresholds - the thresholds of the utilization
   * @param processorCores - processor time that the entry may use, in cores
   * @param usage - usage of the process at present
   * @returns the load of an entry that is idle
   */
  static create(
    thresholds: UtilizationThresholds,
    processorCores: number,
    usage: ProcessUsage,
  ): EntryLoad {
    const load = new EntryLoad(thresholds, processorCores);
    load.usage = usage;
    return load;
  }

  /** Smoothed utilization, from 0 to 1. */
  get utilization(): number {
    return this.smoothed;
  }

  /** Part of the new jobs that is forwarded, from 0 to 1. */
  get forwardedShare(): number {
    return this.share;
  }

  /** True when the entry may soon forward jobs, or does so. */
  get needsReceivers(): boolean {
    return this.share > 0 || this.smoothed >= this.thresholds.lowUtilization;
  }

  /** True when the entry has time for jobs of others. */
  get hasSpareTime(): boolean {
    return this.share === 0 && this.smoothed < acceptanceThreshold(this.thresholds);
  }

  /**
   * Ends a window.
   *
   * @param usage - usage of the process at present
   */
  update(usage: ProcessUsage): void {
    const activeMs = usage.activeMs - this.usage.activeMs;
    const idleMs = usage.idleMs - this.usage.idleMs;
    const processorMs = usage.processorMs - this.usage.processorMs;
    this.usage = usage;
    const windowMs = activeMs + idleMs;
    if (windowMs <= 0) return;
    const newest = Math.max(activeMs / windowMs, processorMs / (windowMs * this.processorCores));
    this.smoothed += NEWEST_WEIGHT * (Math.min(1, newest) - this.smoothed);
    this.share = nextForwardedShare(this.share, this.smoothed, this.thresholds);
    if (this.share === 0) this.shareSum = 0;
  }

  /**
   * Decides whether a new job is forwarded. The forwarded jobs are spread evenly over all jobs.
   *
   * @returns true when the job is to be forwarded
   */
  takeTurn(): boolean {
    this.shareSum += this.share;
    if (this.shareSum < 1) return false;
    this.shareSum -= 1;
    return true;
  }

  /**
   * @param isOpen - false when the entry declines all forwarded jobs for another reason than its load
   * @returns the load as it is reported to other entries
   */
  report(isOpen: boolean): EntryLoadReport {
    const { processorCores, utilization } = this;
    return { utilization, processorCores, accepts: isOpen && this.hasSpareTime };
  }
}
