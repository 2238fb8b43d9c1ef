import * as fc from 'fast-check';
import { fastFirst, spareFast, waitForFast } from '../src/placementRule';
import { placeTasks } from '../src/placeTasks';
import type { Candidate, Placement } from '../src/placeTasks';

const candidates: fc.Arbitrary<Candidate[]> = fc.uniqueArray(
  fc.record({
    agent: fc.uuid(),
    isLocal: fc.boolean(),
    fittingTasks: fc.nat({ max: 12 }),
    slowness: fc.double({ min: 0.5, max: 9, noNaN: true }),
    isNearData: fc.boolean(),
  }),
  { maxLength: 20, selector: ({ agent }) => agent },
);

const goals = fc.record({
  count: fc.nat({ max: 60 }),
  estimateMs: fc.integer({ min: 1, max: 2_000 }),
  expectedMs: fc.integer({ min: 1, max: 2_000 }),
  slackMs: fc.integer({ min: -500, max: 4_000 }),
  bestSlowness: fc.double({ min: 0.5, max: 3, noNaN: true }),
});

const evenly = () => 0.5;

const totalOf = (placements: readonly Placement[]): number =>
  placements.reduce((sum, { count }) => sum + count, 0);

const createCandidate = (agent: string, slowness: number): Candidate => ({
  agent,
  isLocal: true,
  fittingTasks: 10,
  slowness,
  isNearData: true,
});

const fastAndSlow = [createCandidate('fast', 0.83), createCandidate('slow', 1.8)];

const firstAgent = (rule: typeof fastFirst, goal: { estimateMs: number; slackMs: number }) =>
  placeTasks(fastAndSlow, { ...goal, count: 1, bestSlowness: 0.83 }, evenly, rule)[0]?.agent;

describe('the rules of placement while fast capacity is scarce', () => {
  it.each([
    ['spareFast', spareFast],
    ['waitForFast', waitForFast],
  ])(
    '%s gives no agent more tasks than fit and uses no worker that is not acceptable',
    (_, rule) => {
      fc.assert(
        fc.property(candidates, goals, (agents, goal) => {
          const placed = placeTasks(agents, goal, evenly, rule);
          expect(totalOf(placed)).toBeLessThanOrEqual(goal.count);
          placed.forEach(({ agent, count }) => {
            const candidate = agents.find((one) => one.agent === agent);
            expect(count).toBeGreaterThan(0);
            expect(count).toBeLessThanOrEqual(candidate?.fittingTasks ?? 0);
            expect(candidate && fastFirst.isAcceptable(candidate, goal)).toBe(true);
          });
        }),
        { seed: 76, numRuns: 500 },
      );
    },
  );

  it('spareFast places as many tasks as the usual rule', () => {
    fc.assert(
      fc.property(candidates, goals, (agents, goal) => {
        const usual = totalOf(placeTasks(agents, goal, evenly));
        expect(totalOf(placeTasks(agents, goal, evenly, spareFast))).toBe(usual);
      }),
      { seed: 77, numRuns: 500 },
    );
  });

  // Guards against tasks that wait although a fast worker has room, or although they are late anyway.
  it('waitForFast leaves no fast worker idle, and lets no late task wait', () => {
    fc.assert(
      fc.property(candidates, goals, (agents, goal) => {
        const { bestSlowness, estimateMs, slackMs } = goal;
        const isLate = estimateMs * bestSlowness > slackMs;
        const fast = agents.filter(({ slowness }) => slowness <= bestSlowness * 1.35);
        const usable = isLate ? agents : fast;
        const least = totalOf(placeTasks(usable, goal, evenly));
        expect(totalOf(placeTasks(agents, goal, evenly, waitForFast))).toBeGreaterThanOrEqual(
          least,
        );
      }),
      { seed: 78, numRuns: 500 },
    );
  });

  it('a short task goes to a slower worker first, and to a fast one once it has waited', () => {
    const short = { estimateMs: 86, expectedMs: 86, slackMs: 197 };
    expect(firstAgent(fastFirst, short)).toBe('fast');
    expect(firstAgent(spareFast, short)).toBe('slow');
    expect(firstAgent(spareFast, { ...short, slackMs: 180 })).toBe('fast');
  });

  it('a task that runs longer than estimated on its route goes to a fast worker', () => {
    expect(firstAgent(spareFast, { estimateMs: 60, slackMs: 156 })).toBe('slow');
    const underestimated = { estimateMs: 60, expectedMs: 86, slackMs: 156 };
    expect(firstAgent(spareFast, underestimated)).toBe('fast');
  });

  it('a task that meets its objective on a slower worker without a margin waits only with waitForFast', () => {
    const goal = { count: 1, bestSlowness: 0.83, estimateMs: 86, slackMs: 160 };
    const slow = [createCandidate('slow', 1.8)];
    expect(placeTasks(slow, goal, evenly, spareFast)).toHaveLength(1);
    expect(placeTasks(slow, goal, evenly, waitForFast)).toEqual([]);
    expect(placeTasks(slow, { ...goal, slackMs: 70 }, evenly, waitForFast)).toHaveLength(1);
  });
});
