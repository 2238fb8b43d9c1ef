import { MAX_CONFIGURATION_AGE_MS } from '@marjorammast/protocol';
import type { Refusal, AgentConfiguration, StartParams } from '@marjorammast/protocol';

/** State of the agent that the check of a start depends on, besides the start itself. */
export type StartCheckView = {
  dataCenter: string;
  agent: string;
  configuration: AgentConfiguration;
  hasTarget: boolean;
  /** Highest epoch received for the start's shard. */
  epoch: number;
  /** True when the credit is the newest of an idle slot. */
  isCreditValid: boolean;
  /** The agent has a start record of the task. */
  isKnownTask: boolean;
  /** The task may never start here, since its outcome was requested before it had started. */
  isBarredTask: boolean;
  /** The agent's monotonic clock, in milliseconds. */
  clock: number;
  /** Wall clock, in milliseconds since the Unix epoch. */
  wallTime: number;
};

/**
 * Computes an upper bound on the present age of the view of the configuration with which an entry
 * sent a start. The start carries the age of the view when it was sent. It also echoes a reading of
 * the agent's own clock, which bounds the time in transit without comparing the clocks of two
 * machines.
 *
 * @param start - the start
 * @param clock - the agent's monotonic clock, in milliseconds
 * @returns age in milliseconds
 */
export const configurationAge = (start: StartParams, clock: number): number =>
  start.newsAgeMs + Math.max(0, clock - start.echo - start.heldMs);

/**
 * Decides whether a start may be sent to the target.
 *
 * @param start - the start
 * @param view - the agent's state
 * @returns the reason to refuse the start, or `undefined` when it is allowed
 */
export const checkStart = (start: StartParams, view: StartCheckView): Refusal | undefined => {
  if (view.isKnownTask) return 'duplicate';
  if (view.isBarredTask) return 'revoked';
  if (start.epoch < view.epoch) return 'staleEpoch';
  if (start.version > view.configuration.version) return 'configurationBehind';
  if (configurationAge(start, view.clock) > MAX_CONFIGURATION_AGE_MS) return 'staleNews';
  if (view.configuration.outDataCenters.includes(view.dataCenter)) return 'dataCenterOut';
  if (view.configuration.draining.includes(view.agent)) return 'targetDraining';
  if (!view.hasTarget) return 'noTarget';
  if (start.deadlineMs <= 0 || view.wallTime > start.notAfter) return 'expired';
  if (!view.isCreditValid) return 'staleCredit';
  return undefined;
};
