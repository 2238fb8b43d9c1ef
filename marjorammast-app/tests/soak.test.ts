import { createLog } from '@marjorammast/telemetry';
import { Soak } from '../src/soak/Soak';

describe('soak', () => {
  // For other seeds and longer runs: npm run --silent soak -- --seed N --minutes M.
  it('violates no guarantee under a short series of faults', async () => {
    const plan = { seed: 1, durationMs: 15_000, entries: 2, workers: 3 };
    const { violations, starts, faults } = await Soak.create(plan, createLog('soak', 'warn')).run();
    expect(violations).toEqual([]);
    expect(starts).toBeGreaterThan(0);
    expect(faults).toBeGreaterThan(0);
  }, 120_000);
});
