import { createLog } from '@marjorammast/telemetry';
import { Soak } from '../src/soak/Soak';

describe('soak', () => {
  // For other seeds and longer runs: npm run --silent soak -- --seed N --minutes M, and --crashes.
  it.each([
    ['a short series of faults', { entries: 2, workers: 3, hasCrashes: false }],
    ['faults, crashing tasks and capacity changes', { entries: 3, workers: 6, hasCrashes: true }],
  ])(
    'violates no guarantee under %s',
    async (_, size) => {
      const plan = { seed: 1, durationMs: 15_000, ...size };
      const { violations, starts, faults } = await Soak.create(
        plan,
        createLog('soak', 'warn'),
      ).run();
      expect(violations).toEqual([]);
      expect(starts).toBeGreaterThan(0);
      expect(faults).toBeGreaterThan(0);
    },
    120_000,
  );
});
