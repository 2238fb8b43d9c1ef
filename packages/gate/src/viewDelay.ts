import { countFitting } from '@marjorammast/protocol';
import type { Resources, WorkerView } from '@marjorammast/protocol';
import {
  IDLE_VIEW_DELAY_MS,
  MIN_SLOWNESS_CHANGE,
  MIN_FITTING_TASKS_CHANGE,
  VIEW_DELAY_MS,
} from './constants';

/** What an entry knows of a worker, and what it uses the worker for. */
export type ViewSubscriber = {
  /** The view that the entry has, with the free resources that it received last. */
  known: WorkerView;
  /** Resources that a task of the entry's last assignment needs; `undefined` before the first. */
  lastNeeds?: Resources;
  /** True when the entry has assigned tasks to this worker lately. */
  isActive: boolean;
};

/** Number of parts of a worker's capacity, one of which an unknown task is assumed to need. */
const PARTS_PER_WORKER = 8;

const hasOtherState = (known: WorkerView, current: WorkerView): boolean =>
  known.state !== current.state ||
  known.reason !== current.reason ||
  known.service !== current.service ||
  known.incarnation !== current.incarnation ||
  known.labels.join() !== current.labels.join();

const hasOtherSlowness = (known: WorkerView, current: WorkerView): boolean =>
  Math.abs(Math.log(current.slowness / known.slowness)) >= Math.log(MIN_SLOWNESS_CHANGE);

const assumedNeeds = ({ capacity }: WorkerView): Resources => ({
  cpu: capacity.cpu / PARTS_PER_WORKER,
  memoryMb: 0,
  accelerators: 0,
});

/** True when the entry would place another number of tasks here if it knew the free resources. */
const hasOtherRoom = (needs: Resources, known: Resources, current: Resources): boolean => {
  const knownTasks = countFitting(needs, known);
  const currentTasks = countFitting(needs, current);
  if ((knownTasks === 0) !== (currentTasks === 0)) return true;
  return Math.abs(currentTasks - knownTasks) >= MIN_FITTING_TASKS_CHANGE;
};

/**
 * Decides when an entry gets a new view of a worker. Load pattern: a worker whose tasks start and end
 * many times a second, at a size at which many entries are attached to it. A view of each change to
 * each entry costs changes times entries, most of them for entries that place nothing here at the time.
 * Likewise workers that crash: each goes through several states in which it takes no tasks.
 *
 * @param subscriber - what the entry knows and uses
 * @param current - the view as it is now
 * @returns time after the change at which the view is sent, in milliseconds; `undefined` when the
 * change makes no difference to the entry
 */
export const viewDelay = (
  { known, lastNeeds, isActive }: ViewSubscriber,
  current: WorkerView,
): number | undefined => {
  if (known.state === 'closed' && current.state === 'closed') return undefined;
  if (hasOtherState(known, current)) return 0;
  const needs = lastNeeds ?? assumedNeeds(current);
  if (!hasOtherSlowness(known, current) && !hasOtherRoom(needs, known.free, current.free)) {
    return undefined;
  }
  return isActive ? VIEW_DELAY_MS : IDLE_VIEW_DELAY_MS;
};
