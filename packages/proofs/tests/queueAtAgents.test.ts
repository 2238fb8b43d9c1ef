import { replayShortage } from './support/replayShortage';
import type { ShortageFigures } from './support/replayShortage';

/** Demand in parts of the capacity. */
const LOAD = 1;

/** Prints the figures of each replay when set. */
const IS_VERBOSE = process.env['SHOW_FIGURES'] !== undefined;

const replayBoth = async (maxQueueMs?: number): Promise<ShortageFigures[]> => {
  const queueing = maxQueueMs === undefined ? undefined : { maxQueueMs };
  const first = await replayShortage(11, LOAD, queueing);
  const figures = [first, await replayShortage(12, LOAD, queueing)];
  if (IS_VERBOSE) process.stdout.write(`${JSON.stringify({ maxQueueMs, figures })}\n`);
  return figures;
};

const meanOf = (figures: readonly ShortageFigures[], read: (one: ShortageFigures) => number) =>
  figures.reduce((sum, one) => sum + read(one), 0) / figures.length;

describe('more demand than capacity, from a busy entry and quiet ones', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a queue at the agents that is worse than declining and asking again after a pause.
  it('serves more jobs in time with queues at the agents than without', async () => {
    const without = await replayBoth();
    const queued = await replayBoth(200);
    const compare = (read: (one: ShortageFigures) => number) => ({
      before: meanOf(without, read),
      after: meanOf(queued, read),
    });
    const credit = compare((one) => one.credit);
    expect(credit.after).toBeGreaterThan(credit.before + 0.02);
    const urgent = compare((one) => one.creditByKind['urgent'] ?? 0);
    expect(urgent.after).toBeGreaterThan(urgent.before + 0.05);
    const quiet = compare((one) => one.creditQuietEntries);
    expect(quiet.after).toBeGreaterThan(quiet.before);
    const idle = compare((one) => one.idleShare);
    expect(idle.after).toBeLessThan(idle.before * 0.75);
    // The queue must not have entries poll: tasks sent in vain stay at about the number without queues.
    expect(compare((one) => one.wastedPerJob).after).toBeLessThan(2);
    expect(queued.map(({ overloads }) => overloads)).toEqual([0, 0]);
  });
});
