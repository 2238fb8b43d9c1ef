import fc from 'fast-check';
import type { Credit } from '@marjorammast/protocol';
import { Slots } from '../src/Slots';

const SEED = 20261204;

const ENTRIES = ['a', 'b', 'c'];

type Action =
  | { type: 'use'; pick: number; entry: string }
  | { type: 'finish'; pick: number; keep: boolean }
  | { type: 'release'; entry: string }
  | { type: 'distribute' }
  | { type: 'revoke' };

const entry = fc.constantFrom(...ENTRIES);

const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ type: fc.constant('use' as const), pick: fc.nat(50), entry }),
  fc.record({ type: fc.constant('finish' as const), pick: fc.nat(50), keep: fc.boolean() }),
  fc.record({ type: fc.constant('release' as const), entry }),
  fc.constant({ type: 'distribute' as const }),
  fc.constant({ type: 'revoke' as const }),
);

describe('Slots', () => {
  it('accepts each credit at most once and never has more running tasks than slots', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 5 }),
        fc.array(action, { maxLength: 80 }),
        (size, actions) => {
          const slots = Slots.create((name) => ENTRIES.indexOf(name));
          slots.resize(size);
          const credits: Credit[] = [];
          const used = new Set<string>();
          let running: number[] = [];
          actions.forEach((current) => {
            if (current.type === 'use' && credits.length > 0) {
              const credit = credits[current.pick % credits.length];
              if (!credit || !slots.isValid(credit)) return;
              const key = `${credit.slot}.${credit.generation}`;
              expect(used.has(key)).toBe(false);
              used.add(key);
              slots.use(credit, current.entry);
              running.push(credit.slot);
            }
            if (current.type === 'finish' && running.length > 0) {
              const slot = running[current.pick % running.length] ?? 0;
              running = running.filter((other) => other !== slot);
              const next = slots.finish(slot, current.keep, 0);
              if (next) credits.push(next);
            }
            if (current.type === 'release') slots.releaseIdleOf(current.entry);
            if (current.type === 'revoke') slots.revokeIdle();
            if (current.type === 'distribute') {
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
