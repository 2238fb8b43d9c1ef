import fc from 'fast-check';
import { emptyMap, shardsOf, withFairShare, withMember, withoutMembers } from '../src';
import type { ClusterMap } from '../src';

const SEED = 20261204;

const NAMES = ['a', 'b', 'c', 'd', 'e'];

type Step = { type: 'join' | 'leave' | 'balance'; name: string };

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    type: fc.constantFrom('join' as const, 'leave' as const, 'balance' as const),
    name: fc.constantFrom(...NAMES),
  }),
  { maxLength: 30 },
);

const member = (name: string) => ({ name, incarnation: 'i', address: name, dataCenter: 'd' });

const apply = (map: ClusterMap, { type, name }: Step): ClusterMap => {
  const isMember = map.members.some((other) => other.name === name);
  if (type === 'join') return withMember(map, member(name));
  if (!isMember || map.members.length === 1) return map;
  return type === 'leave' ? withoutMembers(map, [name]) : withFairShare(map, name);
};

describe('the cluster map', () => {
  it('gives every shard to a member, under an epoch that grows with each change of owner', () => {
    fc.assert(
      fc.property(steps, (sequence) => {
        let map = withMember(emptyMap(), member('a'));
        sequence.forEach((step) => {
          const next = apply(map, step);
          const names = next.members.map(({ name }) => name);
          const wrong = next.shards.filter((shard, index) => {
            const before = map.shards[index];
            const least = (before?.epoch ?? 0) + (before?.owner === shard.owner ? 0 : 1);
            return !names.includes(shard.owner) || shard.epoch < least;
          });
          expect(wrong).toEqual([]);
          map = next;
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('is even after every member has given its surplus away', () => {
    fc.assert(
      fc.property(steps, (sequence) => {
        const map = sequence.reduce(apply, withMember(emptyMap(), member('a')));
        const balanced = map.members.reduce((now, { name }) => withFairShare(now, name), map);
        const fair = Math.ceil(balanced.shards.length / balanced.members.length);
        balanced.members.forEach(({ name }) => {
          expect(shardsOf(balanced, name).length).toBeLessThanOrEqual(fair);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
