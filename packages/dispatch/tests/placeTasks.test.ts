import fc from 'fast-check';
import { placeTasks } from '../src/placeTasks';
import type { Candidate } from '../src/placeTasks';

const candidate: fc.Arbitrary<Candidate> = fc.record({
  agent: fc.uuid(),
  isLocal: fc.boolean(),
  fitting: fc.nat({ max: 12 }),
  slowness: fc.double({ min: 0.5, max: 9, noNaN: true }),
  isNear: fc.boolean(),
});

const goal = { count: 10, estimateMs: 100, slackMs: 150, bestSlowness: 1 };

const at = (agent: string, fields: Partial<Candidate> = {}): Candidate => ({
  agent,
  isLocal: true,
  fitting: 10,
  slowness: 1,
  isNear: true,
  ...fields,
});

describe('placeTasks', () => {
  it('never gives an agent more than fits, nor more tasks than there are', () => {
    fc.assert(
      fc.property(fc.array(candidate, { maxLength: 20 }), fc.nat({ max: 40 }), (agents, count) => {
        const placed = placeTasks(agents, { ...goal, count });
        const total = placed.reduce((sum, { count: n }) => sum + n, 0);
        expect(total).toBeLessThanOrEqual(count);
        placed.forEach(({ agent, count: n }) => {
          expect(n).toBeGreaterThan(0);
          expect(n).toBeLessThanOrEqual(agents.find((a) => a.agent === agent)?.fitting ?? 0);
        });
      }),
      { seed: 72 },
    );
  });

  it('places as many as the naive placement when all workers are equally fast', () => {
    fc.assert(
      fc.property(fc.array(candidate, { maxLength: 20 }), fc.nat({ max: 60 }), (agents, count) => {
        const equal = agents.map((agent) => ({ ...agent, slowness: 1 }));
        const naive = Math.min(
          count,
          equal.reduce((sum, { fitting }) => sum + fitting, 0),
        );
        const placed = placeTasks(equal, { ...goal, count });
        expect(placed.reduce((sum, { count: n }) => sum + n, 0)).toBe(naive);
      }),
      { seed: 73 },
    );
  });

  // Naive: one task after the other, each to the best agent that still has room.
  it('places each task where the naive placement does', () => {
    const equalTo = (agent: Candidate, best: number) => agent.slowness <= best * 1.35;
    const isBetter = (a: Candidate, b: Candidate, best: number): boolean => {
      const tiers = [a, b].map((agent) => (equalTo(agent, best) ? 0 : agent.slowness));
      const [tierA = 0, tierB = 0] = tiers;
      if (tierA !== tierB) return tierA < tierB;
      if (a.isNear !== b.isNear) return a.isNear;
      if (a.isLocal !== b.isLocal) return a.isLocal;
      return a.fitting > b.fitting;
    };
    const naive = (agents: readonly Candidate[], aim: typeof goal): Map<string, number> => {
      const placed = new Map<string, number>();
      for (let left = aim.count; left > 0; left -= 1) {
        const open = agents.filter((agent) => {
          const isInTime = aim.estimateMs * agent.slowness <= aim.slackMs;
          const isLost = aim.estimateMs * aim.bestSlowness > aim.slackMs;
          const isUsable =
            equalTo(agent, aim.bestSlowness) ||
            isInTime ||
            (isLost && agent.slowness < aim.bestSlowness * 3);
          return isUsable && (placed.get(agent.agent) ?? 0) < agent.fitting;
        });
        const [first, ...others] = open;
        if (!first) break;
        const chosen = others.reduce(
          (best, agent) => (isBetter(agent, best, aim.bestSlowness) ? agent : best),
          first,
        );
        placed.set(chosen.agent, (placed.get(chosen.agent) ?? 0) + 1);
      }
      return placed;
    };
    const aims = fc.record({
      count: fc.nat({ max: 40 }),
      estimateMs: fc.integer({ min: 1, max: 2_000 }),
      slackMs: fc.integer({ min: -500, max: 4_000 }),
      bestSlowness: fc.double({ min: 0.5, max: 3, noNaN: true }),
    });
    fc.assert(
      fc.property(fc.array(candidate, { maxLength: 20 }), aims, (agents, aim) => {
        const placed = placeTasks(agents, aim).map(({ agent, count }) => [agent, count] as const);
        expect(new Map(placed)).toEqual(naive(agents, aim));
      }),
      { seed: 74, numRuns: 500 },
    );
  });

  it('prefers fast workers, then near data, then the own data centre, then room', () => {
    const order = placeTasks(
      [
        at('slow', { slowness: 1.4, fitting: 1 }),
        at('roomy', { isLocal: false, fitting: 3 }),
        at('local', { fitting: 1 }),
        at('far', { isNear: false, fitting: 1 }),
      ],
      goal,
    ).map(({ agent }) => agent);
    expect(order).toEqual(['local', 'roomy', 'far', 'slow']);
  });

  it('waits for a fast worker while the objective allows, and takes a slower one when it is lost', () => {
    const slow = [at('slow', { slowness: 2.2 })];
    expect(placeTasks(slow, { ...goal, estimateMs: 1_000, slackMs: 1_800 })).toEqual([]);
    expect(placeTasks(slow, { ...goal, estimateMs: 1_000, slackMs: 900 })).toHaveLength(1);
    expect(placeTasks(slow, { ...goal, estimateMs: 50, slackMs: 150 })).toHaveLength(1);
  });

  it('leaves a worker alone that is many times slower, also for lost work', () => {
    const crawling = [at('crawling', { slowness: 7 })];
    expect(placeTasks(crawling, { ...goal, estimateMs: 1_000, slackMs: 900 })).toEqual([]);
  });
});
