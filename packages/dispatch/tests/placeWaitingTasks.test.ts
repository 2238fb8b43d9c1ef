import { placeWaitingTasks } from '../src/placeWaitingTasks';
import type { QueueCandidate } from '../src/placeWaitingTasks';

const createCandidate = (agent: string, fields: Partial<QueueCandidate> = {}): QueueCandidate => ({
  agent,
  slowness: 1,
  queueMs: 50,
  queueTasks: 2,
  ...fields,
});

const goal = { count: 1, estimateMs: 100, slackMs: 200, bestSlowness: 1 };

/** Returns the given numbers in turn. */
const createRandom = (...values: readonly number[]) => {
  let calls = 0;
  return () => {
    calls += 1;
    return values[(calls - 1) % values.length] ?? 0;
  };
};

describe('placeWaitingTasks', () => {
  it('takes the shorter wait of two random agents', () => {
    const candidates = [
      createCandidate('long', { queueMs: 90 }),
      createCandidate('short', { queueMs: 10 }),
      createCandidate('shortest', { queueMs: 1 }),
    ];
    const placements = placeWaitingTasks(
      candidates,
      goal,
      { maxQueueMs: 200 },
      createRandom(0, 0.5),
    );
    expect(placements).toEqual([{ agent: 'short', count: 1 }]);
  });

  it('leaves agents at which a task misses its objective to others, unless it misses it everywhere', () => {
    const late = createCandidate('late', { queueMs: 150 });
    const place = (...candidates: readonly QueueCandidate[]) =>
      placeWaitingTasks(candidates, goal, { maxQueueMs: 200 }, () => 0).map(({ agent }) => agent);
    expect(place(late, createCandidate('inTime'))).toEqual(['inTime']);
    expect(place(late)).toEqual(['late']);
    expect(place(createCandidate('slow', { slowness: 3 }))).toEqual([]);
  });

  it('places no more tasks than may wait at an agent, and none where the wait is too long', () => {
    const candidates = [createCandidate('a'), createCandidate('b', { queueMs: 201 })];
    const placements = placeWaitingTasks(
      candidates,
      { ...goal, count: 5 },
      { maxQueueMs: 200 },
      () => 0,
    );
    expect(placements).toEqual([{ agent: 'a', count: 2 }]);
  });
});
