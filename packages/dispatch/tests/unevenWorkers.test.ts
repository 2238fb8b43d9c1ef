import type { PlacementOptions } from '../src/ScarcePlacement';
import { replayUnevenWorkers } from './replayUnevenWorkers';
import type { KindResult, UnevenLoad } from './replayUnevenWorkers';

const SEEDS = [1, 2];

const LENGTH_MS = 4_000;

const USUAL: PlacementOptions = {};

const SPARING: PlacementOptions = { scarceRoom: true };

const WAITING: PlacementOptions = { scarceRoom: true, waitForFast: true };

type Setting = Pick<UnevenLoad, 'utilization' | 'entries' | 'objectiveOf'>;

const replayAll = (setting: Setting, placement: PlacementOptions) =>
  SEEDS.map((seed) => replayUnevenWorkers({ ...setting, lengthMs: LENGTH_MS, seed, placement }));

const shareInTime = (results: readonly KindResult[]): number => {
  const jobs = results.reduce((sum, result) => sum + result.jobs, 0);
  return results.reduce((sum, { inTime }) => sum + inTime, 0) / jobs;
};

/** Share of jobs in time, of all kinds and by kind. */
const measure = (setting: Setting, placement: PlacementOptions) => {
  const kinds = replayAll(setting, placement).map((replay) => replay.kinds);
  return {
    all: shareInTime(kinds.flatMap(({ urgent, middle, long }) => [urgent, middle, long])),
    urgent: shareInTime(kinds.map(({ urgent }) => urgent)),
    middle: shareInTime(kinds.map(({ middle }) => middle)),
    long: shareInTime(kinds.map(({ long }) => long)),
  };
};

const setting = (utilization: number, entries = 1): Setting => ({
  utilization,
  entries,
  objectiveOf: 'estimate',
});

describe('jobs on fast and slow workers with the long kind at 2.2 times its rate', () => {
  // Guards against a rule that changes placement while there is enough capacity.
  it.each([1, 8])(
    'places the same tasks on the same workers with enough capacity, with %i entries',
    (entries) => {
      const usual = replayAll(setting(0.3, entries), USUAL);
      const placementsOf = (options: PlacementOptions) =>
        replayAll(setting(0.3, entries), options).map(({ placements }) => placements);
      expect(usual.every(({ placements }) => placements.length > 250)).toBe(true);
      expect(placementsOf(SPARING)).toEqual(usual.map(({ placements }) => placements));
      expect(placementsOf(WAITING)).toEqual(usual.map(({ placements }) => placements));
    },
  );

  it.each([
    [0.8, 0.015],
    [0.95, 0.005],
    [1.1, 0.005],
  ])('has more jobs in time at %d of the capacity, and of no kind fewer', (utilization, gain) => {
    const usual = measure(setting(utilization), USUAL);
    const sparing = measure(setting(utilization), SPARING);
    expect(sparing.all).toBeGreaterThan(usual.all + gain);
    expect(sparing.urgent).toBeGreaterThanOrEqual(usual.urgent);
    expect(sparing.middle).toBeGreaterThanOrEqual(usual.middle);
    expect(sparing.long).toBeGreaterThanOrEqual(usual.long);
  });

  // Guards against a margin that relies on the client's estimate where the objective follows from the real work.
  it.each([0.8, 0.95, 1.1])(
    'loses nothing at %d if jobs are judged by their real work',
    (utilization) => {
      const byWork: Setting = { ...setting(utilization), objectiveOf: 'task' };
      const usual = measure(byWork, USUAL);
      const sparing = measure(byWork, SPARING);
      expect(sparing.all).toBeGreaterThan(usual.all);
      expect(sparing.urgent).toBeGreaterThan(usual.urgent - 0.01);
    },
  );

  it.each([0.8, 0.95, 1.1])(
    'loses nothing at %d with eight entries and old views',
    (utilization) => {
      const usual = measure(setting(utilization, 8), USUAL);
      const sparing = measure(setting(utilization, 8), SPARING);
      expect(sparing.all).toBeGreaterThan(usual.all - 0.001);
      expect(sparing.urgent).toBeGreaterThan(usual.urgent);
    },
  );

  // The load: urgent tasks that find the fast workers full for a few milliseconds and end late on slow ones.
  it.each([
    [0.8, 1, 0.08],
    [0.95, 1, 0.13],
    [1.1, 1, 0.14],
    [0.8, 8, 0.04],
    [0.95, 8, 0.08],
    [1.1, 8, 0.04],
  ])(
    'has more jobs in time if tasks wait for fast workers, at %d with %i entries',
    (utilization, entries, gain) => {
      const usual = measure(setting(utilization, entries), USUAL);
      const waiting = measure(setting(utilization, entries), WAITING);
      expect(waiting.all).toBeGreaterThan(usual.all + gain);
      expect(waiting.urgent).toBeGreaterThan(usual.urgent + 0.1);
      // The long kind, of the lowest priority, is what waits.
      expect(waiting.long).toBeGreaterThan(usual.long - 0.07);
    },
  );

  it('never runs more tasks on a worker than fit', () => {
    const replays = [USUAL, SPARING, WAITING].flatMap((options) =>
      replayAll(setting(1.1, 8), options),
    );
    replays.forEach(({ maxRunning }) => expect(maxRunning).toBe(10));
  });
});
