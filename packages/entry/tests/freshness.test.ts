import fc from 'fast-check';
import { freshnessAge } from '../src/freshness';
import type { FreshnessView, PeerNews } from '../src/freshness';

const SEED = 20261204;

const NOW = 100_000;

const peer: fc.Arbitrary<PeerNews> = fc.record({
  askedAt: fc.integer({ min: 90_000, max: NOW }),
  hasLeft: fc.constant(false),
  news: fc.record({
    version: fc.nat(4),
    mapRevision: fc.nat(4),
    storeAgeMs: fc.integer({ min: 0, max: 20_000 }),
    unsettled: fc.boolean(),
    unreachable: fc.constant([]),
  }),
});

const view: fc.Arbitrary<FreshnessView> = fc.record({
  version: fc.nat(4),
  mapRevision: fc.nat(4),
  storeReadAt: fc.integer({ min: 80_000, max: NOW }),
  isUnsettled: fc.boolean(),
  peers: fc.array(fc.option(peer, { nil: undefined }), { maxLength: 4 }),
});

const isAhead = ({ version, mapRevision }: FreshnessView, { news }: PeerNews): boolean =>
  news.version > version || news.mapRevision > mapRevision;

describe('freshnessAge', () => {
  it('is at most the age of the own read', () => {
    fc.assert(
      fc.property(view, (seen) => {
        expect(freshnessAge(seen, NOW)).toBeLessThanOrEqual(NOW - seen.storeReadAt);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('takes nothing from peers that know more', () => {
    fc.assert(
      fc.property(view, (seen) => {
        const peers = seen.peers.filter((one) => one && isAhead(seen, one));
        fc.pre(peers.length > 0);
        expect(freshnessAge({ ...seen, peers }, NOW)).toBe(NOW - seen.storeReadAt);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('takes agreement only from all members, none of them with a write in doubt', () => {
    fc.assert(
      fc.property(view, (seen) => {
        // No read counts here, so that agreement is the only evidence left.
        const peers = seen.peers.map(
          (one) => one && { ...one, news: { ...one.news, storeAgeMs: 1e9 } },
        );
        const alone = { ...seen, peers, storeReadAt: 0 };
        const agrees = (one: PeerNews | undefined) =>
          one !== undefined && !one.news.unsettled && !isAhead(seen, one);
        const isAgreed = !seen.isUnsettled && peers.every(agrees);
        const oldest = Math.min(NOW, ...peers.map((one) => one?.askedAt ?? 0));
        expect(freshnessAge(alone, NOW)).toBe(isAgreed ? NOW - oldest : NOW);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });
});
