/**
 * An agent with an idle slot, and the time in milliseconds that the task is expected to run there.
 */
export type Candidate = { agent: string; expectedMs: number };

/** Selects the agent for one task; `undefined` leaves the task in the queue. */
export type Placement = (candidates: readonly Candidate[]) => string | undefined;

/**
 * Selects the agent with the shortest expected run time.
 *
 * @param candidates - agents with an idle slot
 * @returns name of the agent, or `undefined` when there are no candidates
 */
export const placeFastest: Placement = (candidates) => {
  let best: Candidate | undefined;
  candidates.forEach((candidate) => {
    if (!best || candidate.expectedMs < best.expectedMs) best = candidate;
  });
  return best?.agent;
};

/**
 * Creates a placement that selects a random agent with an idle slot.
 *
 * @param random - source of uniform random numbers from 0 to below 1
 * @returns the placement
 */
export const createRandomPlacement =
  (random: () => number): Placement =>
  (candidates) =>
    candidates[Math.floor(random() * candidates.length)]?.agent;
