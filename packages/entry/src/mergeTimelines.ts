import type { TimelineEvent } from '@marjorammast/protocol';
import { compareTimes } from '@marjorammast/telemetry';

/** Events of all processes, and the names of the processes that did not answer. */
export type MergedTimeline = { events: TimelineEvent[]; missing: string[] };

/** A process whose events can be requested. */
export type TimelineSource = { name: string; ask: () => Promise<TimelineEvent[]> };

/**
 * Requests the events of other processes and sorts all events by time.
 *
 * @param own - events of this process
 * @param sources - the other processes
 * @returns the sorted events, and the names of the sources that did not answer
 */
export const mergeTimelines = async (
  own: readonly TimelineEvent[],
  sources: readonly TimelineSource[],
): Promise<MergedTimeline> => {
  const missing: string[] = [];
  const lists = await Promise.all(
    sources.map(async ({ name, ask }) => {
      try {
        return await ask();
      } catch {
        missing.push(name);
        return [];
      }
    }),
  );
  const events = [...own, ...lists.flat()].sort((a, b) => compareTimes(a.time, b.time));
  return { events, missing };
};
