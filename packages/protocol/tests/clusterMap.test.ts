import fc from 'fast-check';
import { emptyMap, shardsOf, withBalancedShards, withMember, withoutMembers } from '../src';
import type { ClusterMap } from '../src';

const SEED = 20261204;

const NAMES = ['a', 'b', 'c', 'd', 'e'];

type Change = { type: 'join' | 'leave' | 'balance'; name: string };

const changes: fc.Arbitrary<Change[]> = fc.array(
  fc.record({
    type: fc.constantFrom('join' as const, 'leave' as const, 'balance' as const),
    name: fc.constantFrom(...NAMES),
  }),
  { maxLength: 30 },
);

const createMember = (name: string) => ({ name, incarnation: 'i', address: name, dataCenter: 'd' });

const apply = (map: ClusterMap, { type, name }: Change): ClusterMap => {
  const isMember = map.members.some((other) => other.name === name);
  if (type === 'join') return withMember(map, createMember(name));
  if (!isMember || map.members.length === 1) return map;
  return type === 'leave' ? withoutMembers(map, [name]) : withBalancedShards(map, name);
};

describe('the cluster map', () => {
  it('assigns every shard to a member and raises its epoch with each change of owner', () => {
    fc.assert(
      fc.property(changes, (sequence) => {
        let map = withMember(emptyMap(), createMember('a'));
        sequence.forEach((change) => {
          const next = apply(map, change);
          const names = next.members.map(({ name }) => name);
          const violations = next.shards.filter((shard, index) => {
            const before = map.shards[index];
            const minEpoch = (before?.epoch ?? 0) + (before?.owner === shard.owner ? 0 : 1);
            return !names.includes(shard.owner) || shard.epoch < minEpoch;
          });
          expect(violations).toEqual([]);
          map = next;
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('leaves no member above its fair share after rebalancing every member', () => {
    fc.assert(
      fc.property(changes, (sequence) => {
        const map = sequence.reduce(apply, withMember(emptyMap(), createMember('a')));
        const balanced = map.members.reduce(
          (current, { name }) => withBalancedShards(current, name),
          map,
        );
        const fairShare = Math.ceil(balanced.shards.length / balanced.members.length);
        balanced.members.forEach(({ name }) => {
          expect(shardsOf(balanced, name).length).toBeLessThanOrEqual(fairShare);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
