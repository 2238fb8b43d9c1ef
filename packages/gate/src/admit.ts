import { countFitting } from '@marjorammast/protocol';
import type { DeclineReason, Params, Resources } from '@marjorammast/protocol';
import { ASSIGN_AGE_MS } from './constants';

/** What the gate looks at, besides the assignment itself. */
export type AdmissionView = {
  /** False while the worker takes nothing. */
  isOpen: boolean;
  /** Age of the assignment, in milliseconds. */
  ageMs: number;
  /** Operators have taken the agent's data centre out. */
  isDataCenterOut: boolean;
  service: string;
  labels: readonly string[];
  free: Resources;
  /** Runs that take room. */
  runs: number;
  /** Those of them that are of the same step. */
  runsOfStep: number;
  /** A task of the assignment is at work here already. */
  isAtWork: boolean;
  /** The worker gets one task, to show that it is sound again. */
  isOnTrial: boolean;
};

/** How many runs may start, in their order, and why not more. */
export type Admission = { count: number; reason?: DeclineReason };

const admitByRoom = (
  { needs, runs, maxPerWorker }: Params<'assign'>,
  view: AdmissionView,
): Admission => {
  const room = countFitting(needs, view.free);
  const limit = maxPerWorker > 0 ? maxPerWorker - view.runsOfStep : Infinity;
  const trial = view.isOnTrial ? 1 - view.runs : Infinity;
  const count = Math.max(0, Math.min(runs.length, room, limit, trial));
  return { count, reason: limit <= count && limit < runs.length ? 'workerLimit' : 'room' };
};

/**
 * Decides how many runs of an assignment may start.
 *
 * @param assignment - what an entry asks for
 * @param view - state of the agent and its worker
 * @returns the decision
 */
export const admit = (assignment: Params<'assign'>, view: AdmissionView): Admission => {
  const { service, label } = assignment;
  if (!view.isOpen) return { count: 0, reason: 'closed' };
  if (view.ageMs > ASSIGN_AGE_MS) return { count: 0, reason: 'stale' };
  if (view.isDataCenterOut) return { count: 0, reason: 'dataCenterOut' };
  if (view.service !== service) return { count: 0, reason: 'otherService' };
  if (label && !view.labels.includes(label)) return { count: 0, reason: 'missingLabel' };
  if (view.isAtWork) return { count: 0, reason: 'lowRun' };
  return admitByRoom(assignment, view);
};
