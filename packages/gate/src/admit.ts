import { countFitting } from '@marjorammast/protocol';
import type { DeclineReason, Params, Resources } from '@marjorammast/protocol';
import { MAX_ASSIGNMENT_AGE_MS } from './constants';

/** State of the agent and its worker that admission depends on, besides the assignment itself. */
export type AdmissionState = {
  /** False while nothing may be started on the worker. */
  isOpen: boolean;
  /** Age of the assignment, in milliseconds. */
  ageMs: number;
  /** Operators have evacuated the agent's data centre. */
  isDataCenterOut: boolean;
  service: string;
  labels: readonly string[];
  free: Resources;
  /** Number of runs that occupy resources. */
  runs: number;
  /** Number of runs that occupy resources and belong to the step of the assignment. */
  runsOfStep: number;
  /** A run of a task in the assignment already occupies resources on this worker. */
  isTaskRunning: boolean;
  /** The worker was ejected and since then gets one task at a time, until one succeeds. */
  isOnTrial: boolean;
  /** The worker has just started a task that is suspected to have crashed another worker. */
  isOnProbation: boolean;
};

/**
 * Number of runs that may start, counted from the first, and the reason why the others may not. The
 * reason means nothing when all runs may start.
 */
export type Admission = { count: number; reason?: DeclineReason };

const admitByCapacity = (
  { needs, runs, maxPerWorker }: Params<'assign'>,
  state: AdmissionState,
): Admission => {
  const fitting = countFitting(needs, state.free);
  const stepLimit = maxPerWorker > 0 ? maxPerWorker - state.runsOfStep : Infinity;
  const trialLimit = state.isOnTrial ? 1 - state.runs : Infinity;
  const count = Math.max(0, Math.min(runs.length, fitting, stepLimit, trialLimit));
  return { count, reason: stepLimit <= count && stepLimit < runs.length ? 'workerLimit' : 'room' };
};

/**
 * Decides how many runs of an assignment may start.
 *
 * @param assignment - runs that an entry wants to start
 * @param state - state of the agent and its worker
 * @returns the number of runs to start and the reason why it is limited
 */
export const admit = (assignment: Params<'assign'>, state: AdmissionState): Admission => {
  const { service, label } = assignment;
  if (!state.isOpen) return { count: 0, reason: 'closed' };
  if (state.ageMs > MAX_ASSIGNMENT_AGE_MS) return { count: 0, reason: 'stale' };
  if (state.isDataCenterOut) return { count: 0, reason: 'dataCenterOut' };
  if (state.service !== service) return { count: 0, reason: 'otherService' };
  if (label && !state.labels.includes(label)) return { count: 0, reason: 'missingLabel' };
  if (state.isTaskRunning) return { count: 0, reason: 'lowRun' };
  if (state.isOnProbation) return { count: 0, reason: 'probation' };
  return admitByCapacity(assignment, state);
};
