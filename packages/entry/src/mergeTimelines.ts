import type { TimelineEvent } from '@marjorammast/protocol';
import { compareTimes } from '@marjorammast/telemetry';

/** Events of all processes, and the processes that could not be asked. */
export type MergedTimeline = { events: TimelineEvent[]; missing: string[] };

/** Where events can be asked for. */
export type TimelineSource = { name: string; ask: () => Promise<TimelineEvent[]> };

/**
 * Collects events and puts them in order.
 *
 * @param own - events of this process
 * @param sources - the other processes
 * @returns the events, and the sources that did not answer
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
