import * as fc from 'fast-check';
import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS } from '../src/constants';
import { findRefusal } from '../src/findRefusal';
import type { WaitingJob } from '../src/findRefusal';

const ms = fc.double({ min: 0, max: 10_000, noNaN: true });

const waitingJob: fc.Arbitrary<WaitingJob> = fc.record({
  ageMs: ms,
  objectiveMs: ms,
  startWithinMs: fc.double({ min: -1_000, max: 10_000, noNaN: true }),
  estimatedWaitMs: fc.option(ms, { nil: undefined }),
  hasWorkers: fc.boolean(),
});

const jitter = fc.double({ min: 0, max: 0.999, noNaN: true });

describe('findRefusal', () => {
  it('refuses every job that cannot start in time, and says when there is room again', () => {
    fc.assert(
      fc.property(waitingJob, jitter, (job, random) => {
        const waitMs = job.estimatedWaitMs ?? 0;
        const isHopeless = job.startWithinMs < 0 || waitMs > job.startWithinMs;
        const refusal = findRefusal({ ...job, hasWorkers: true }, random);
        expect(refusal !== undefined).toBe(isHopeless);
        if (!refusal) return;
        const roomAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
        expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(roomAfterMs);
        expect(refusal.retryAfterMs).toBeLessThanOrEqual(2 * roomAfterMs);
      }),
    );
  });

  it('keeps a job without an estimate while it can start in time', () => {
    fc.assert(
      fc.property(waitingJob, jitter, ({ startWithinMs, ...job }, random) => {
        const kept = { ...job, startWithinMs: Math.abs(startWithinMs), estimatedWaitMs: undefined };
        expect(findRefusal({ ...kept, hasWorkers: true }, random)).toBeUndefined();
      }),
    );
  });

  it('refuses a job whose service has no workers after a quarter of its objective', () => {
    const job = { objectiveMs: 400, startWithinMs: 1_000, estimatedWaitMs: 0, hasWorkers: false };
    expect(findRefusal({ ...job, ageMs: 99 }, 0)).toBeUndefined();
    expect(findRefusal({ ...job, ageMs: 100 }, 0)?.reason).toBe('noWorkers');
  });
});
