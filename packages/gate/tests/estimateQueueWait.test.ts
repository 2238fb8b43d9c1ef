import { NO_RESOURCES } from '@marjorammast/protocol';
import { estimateQueueWait, expectedRemainingMs, meanNeeds } from '../src/estimateQueueWait';

const needsOf = (cpu: number) => ({ cpu, memoryMb: 0, accelerators: 0 });

const createRun = (fields: object = {}) => ({
  needs: needsOf(100),
  startsAt: 1_000,
  percent: 0,
  estimateMs: 300,
  ...fields,
});

describe('expectedRemainingMs', () => {
  it.each([
    ['the estimate and the slowness of the worker', {}, 2, 500],
    ['its progress, when that is slower', { percent: 25 }, 1, 300],
    ['the estimate, when its last known progress is small', { percent: 2 }, 1, 200],
    ['its age, when it is past its estimate', { estimateMs: 40, percent: 1 }, 1, 25],
    ['its start, when it has not started', { startsAt: 1_150 }, 1, 350],
  ])('follows %s', (_, fields, slowness, expected) => {
    expect(expectedRemainingMs(createRun(fields), slowness, 1_100)).toBe(expected);
  });
});

describe('estimateQueueWait', () => {
  const state = {
    runs: [createRun({ estimateMs: 300 }), createRun({ estimateMs: 150 })],
    free: NO_RESOURCES,
    needsAhead: NO_RESOURCES,
    needs: needsOf(100),
    slowness: 1,
  };

  it('is the time to the end of as many runs as leave room for the task', () => {
    expect(estimateQueueWait(state, 1_000)).toBe(150);
    expect(estimateQueueWait({ ...state, needsAhead: needsOf(100) }, 1_000)).toBe(300);
    expect(estimateQueueWait({ ...state, needs: needsOf(200) }, 1_000)).toBe(300);
  });

  it('is 0 with room, and infinite for a task for which the runs do not make room', () => {
    expect(estimateQueueWait({ ...state, free: needsOf(100) }, 1_000)).toBe(0);
    expect(estimateQueueWait({ ...state, needs: needsOf(300) }, 1_000)).toBe(Infinity);
  });

  it('takes the mean of the runs for the needs of a typical task', () => {
    expect(meanNeeds([createRun(), createRun({ needs: needsOf(300) })])).toEqual(needsOf(200));
    expect(meanNeeds([])).toEqual(NO_RESOURCES);
  });
});
