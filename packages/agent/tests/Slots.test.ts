import fc from 'fast-check';
import type { Credit } from '@marjorammast/protocol';
import { Slots } from '../src/Slots';

const SEED = 20261204;

const ENTRIES = ['a', 'b', 'c'];

type Step =
  | { type: 'use'; pick: number; entry: string }
  | { type: 'finish'; pick: number; keep: boolean }
  | { type: 'release'; entry: string }
  | { type: 'distribute' }
  | { type: 'revoke' };

const entry = fc.constantFrom(...ENTRIES);

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('use' as const), pick: fc.nat(50), entry }),
  fc.record({ type: fc.constant('finish' as const), pick: fc.nat(50), keep: fc.boolean() }),
  fc.record({ type: fc.constant('release' as const), entry }),
  fc.constant({ type: 'distribute' as const }),
  fc.constant({ type: 'revoke' as const }),
);

describe('Slots', () => {
  it('lets each credit be used at most once and never runs more than its slots', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 5 }),
        fc.array(step, { maxLength: 80 }),
        (size, list) => {
          const slots = Slots.create((name) => ENTRIES.indexOf(name));
          slots.resize(size);
          const credits: Credit[] = [];
          const used = new Set<string>();
          let running: number[] = [];
          list.forEach((one) => {
            if (one.type === 'use' && credits.length > 0) {
              const credit = credits[one.pick % credits.length];
              if (!credit || !slots.isValid(credit)) return;
              const key = `${credit.slot}.${credit.generation}`;
              expect(used.has(key)).toBe(false);
              used.add(key);
              slots.take(credit, one.entry);
              running.push(credit.slot);
            }
            if (one.type === 'finish' && running.length > 0) {
              const slot = running[one.pick % running.length] ?? 0;
              running = running.filter((other) => other !== slot);
              const next = slots.finish(slot, one.keep, 0);
              if (next) credits.push(next);
            }
            if (one.type === 'release') slots.release(one.entry);
            if (one.type === 'revoke') slots.revokeIdle();
            if (one.type === 'distribute') {
              slots.distribute(ENTRIES, 0).forEach((grant) => credits.push(...grant.credits));
            }
            expect(slots.running).toBe(running.length);
            expect(slots.running).toBeLessThanOrEqual(size);
          });
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});
