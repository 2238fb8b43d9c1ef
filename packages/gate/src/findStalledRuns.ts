import { MIN_STALL_TIMEOUT_MS } from './constants';
import type { Run } from './run';

/**
 * Part of the estimated run time without progress after which a run counts as stalled. A run that keeps to
 * its estimate advances by several percent in this time.
 */
const STALL_SHARE = 1 / 5;

/**
 * Finds runs that make no progress.
 *
 * @param running - runs in progress
 * @param now - monotonic time, in milliseconds
 * @returns the stalled runs
 */
export const findStalledRuns = (running: readonly Run[], now: number): Run[] =>
  running.filter(({ estimateMs, lastProgressAt }) => {
    const timeoutMs = Math.max(MIN_STALL_TIMEOUT_MS, estimateMs * STALL_SHARE);
    return now - lastProgressAt > timeoutMs;
  });
