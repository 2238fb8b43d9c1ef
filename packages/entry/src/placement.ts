/** An agent with an idle slot. */
export type Candidate = { agent: string; expectedMs: number };

/** Picks the agent for one task; `undefined` leaves the task waiting. */
export type Placement = (candidates: readonly Candidate[]) => string | undefined;

/**
 * Picks the agent that is expected to run the task in the shortest time.
 *
 * @param candidates - agents with an idle slot
 * @returns the chosen agent, or `undefined` without candidates
 */
export const placeFastest: Placement = (candidates) => {
  let best: Candidate | undefined;
  candidates.forEach((candidate) => {
    if (!best || candidate.expectedMs < best.expectedMs) best = candidate;
  });
  return best?.agent;
};

/**
 * Creates a placement that takes any agent with an idle slot.
 *
 * @param random - uniform random numbers below 1
 * @returns the placement
 */
export const createRandomPlacement =
  (random: () => number): Placement =>
  (candidates) =>
    candidates[Math.floor(random() * candidates.length)]?.agent;
