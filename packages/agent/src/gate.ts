import { FRESHNESS_MS } from '@marjorammast/protocol';
import type { Refusal, Slice, Start } from '@marjorammast/protocol';

/** What the gate looks at, besides the start itself. */
export type GateView = {
  dataCenter: string;
  agent: string;
  slice: Slice;
  hasTarget: boolean;
  /** Highest epoch seen for the start's shard. */
  epoch: number;
  isCreditValid: boolean;
  isKnownTask: boolean;
  isBarredTask: boolean;
  /** The agent's monotonic clock, in milliseconds. */
  clock: number;
  /** Wall clock, in milliseconds since the Unix epoch. */
  wallTime: number;
};

/**
 * Upper bound on the age of the news under which a start was sent. The echo of the agent's own
 * clock bounds the time in transit without comparing two clocks.
 *
 * @param start - the start
 * @param clock - the agent's monotonic clock, in milliseconds
 * @returns age in milliseconds
 */
export const newsAge = (start: Start, clock: number): number =>
  start.newsAgeMs + Math.max(0, clock - start.echo - start.heldMs);

/**
 * Decides whether a start may reach the target.
 *
 * @param start - the start
 * @param view - the agent's state
 * @returns the reason to refuse, or `undefined` to go on
 */
export const gate = (start: Start, view: GateView): Refusal | undefined => {
  if (view.isKnownTask) return 'duplicate';
  if (view.isBarredTask) return 'revoked';
  if (start.epoch < view.epoch) return 'staleEpoch';
  if (start.version > view.slice.version) return 'configurationBehind';
  if (newsAge(start, view.clock) > FRESHNESS_MS) return 'staleNews';
  if (view.slice.outDataCenters.includes(view.dataCenter)) return 'dataCenterOut';
  if (view.slice.draining.includes(view.agent)) return 'targetDraining';
  if (!view.hasTarget) return 'noTarget';
  if (start.deadlineMs <= 0 || view.wallTime > start.notAfter) return 'expired';
  if (!view.isCreditValid) return 'staleCredit';
  return undefined;
};
