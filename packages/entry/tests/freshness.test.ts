import fc from 'fast-check';
import { configurationAge } from '../src/freshness';
import type { FreshnessEvidence, PeerHeartbeat } from '../src/freshness';

const SEED = 20261204;

const NOW = 100_000;

const peer: fc.Arbitrary<PeerHeartbeat> = fc.record({
  sentAt: fc.integer({ min: 90_000, max: NOW }),
  hasLeft: fc.constant(false),
  news: fc.record({
    version: fc.nat(4),
    mapRevision: fc.nat(4),
    storeAgeMs: fc.integer({ min: 0, max: 20_000 }),
    unsettled: fc.boolean(),
    unreachable: fc.constant([]),
  }),
});

const view: fc.Arbitrary<FreshnessEvidence> = fc.record({
  version: fc.nat(4),
  mapRevision: fc.nat(4),
  storeReadAt: fc.integer({ min: 80_000, max: NOW }),
  isUnsettled: fc.boolean(),
  peers: fc.array(fc.option(peer, { nil: undefined }), { maxLength: 4 }),
});

const isAhead = ({ version, mapRevision }: FreshnessEvidence, { news }: PeerHeartbeat): boolean =>
  news.version > version || news.mapRevision > mapRevision;

describe('freshnessAge', () => {
  it('is at most the age of the latest own read of the store', () => {
    fc.assert(
      fc.property(view, (seen) => {
        expect(configurationAge(seen, NOW)).toBeLessThanOrEqual(NOW - seen.storeReadAt);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('ignores peers that know a newer configuration', () => {
    fc.assert(
      fc.property(view, (seen) => {
        const peers = seen.peers.filter((one) => one && isAhead(seen, one));
        fc.pre(peers.length > 0);
        expect(configurationAge({ ...seen, peers }, NOW)).toBe(NOW - seen.storeReadAt);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('accepts agreement only if every member agrees and no member has a write of unknown outcome', () => {
    fc.assert(
      fc.property(view, (seen) => {
        // All reads of the store are too old to count, so that agreement is the only evidence.
        const peers = seen.peers.map(
          (one) => one && { ...one, news: { ...one.news, storeAgeMs: 1e9 } },
        );
        const alone = { ...seen, peers, storeReadAt: 0 };
        const agrees = (one: PeerHeartbeat | undefined) =>
          one !== undefined && !one.news.unsettled && !isAhead(seen, one);
        const isAgreed = !seen.isUnsettled && peers.every(agrees);
        const oldest = Math.min(NOW, ...peers.map((one) => one?.sentAt ?? 0));
        expect(configurationAge(alone, NOW)).toBe(isAgreed ? NOW - oldest : NOW);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });
});
