import fc from 'fast-check';
import { configurationAge } from '../src/configurationAge';
import type { FreshnessEvidence, PeerHeartbeat } from '../src/configurationAge';

const SEED = 20261204;

const NOW = 100_000;

const anyHeartbeat: fc.Arbitrary<PeerHeartbeat> = fc.record({
  sentAt: fc.integer({ min: 90_000, max: NOW }),
  hasLeft: fc.constant(false),
  reply: fc.record({
    version: fc.nat(4),
    mapRevision: fc.nat(4),
    storeAgeMs: fc.integer({ min: 0, max: 20_000 }),
    unsettled: fc.boolean(),
    unreachable: fc.constant([]),
  }),
});

const anyEvidence: fc.Arbitrary<FreshnessEvidence> = fc.record({
  version: fc.nat(4),
  mapRevision: fc.nat(4),
  storeReadAt: fc.integer({ min: 80_000, max: NOW }),
  isUnsettled: fc.boolean(),
  peers: fc.array(fc.option(anyHeartbeat, { nil: undefined }), { maxLength: 4 }),
});

const isAhead = ({ version, mapRevision }: FreshnessEvidence, { reply }: PeerHeartbeat): boolean =>
  reply.version > version || reply.mapRevision > mapRevision;

describe('configurationAge', () => {
  it('is at most the age of the latest own read of the store', () => {
    fc.assert(
      fc.property(anyEvidence, (evidence) => {
        expect(configurationAge(evidence, NOW)).toBeLessThanOrEqual(NOW - evidence.storeReadAt);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('ignores peers that know a newer configuration', () => {
    fc.assert(
      fc.property(anyEvidence, (evidence) => {
        const peers = evidence.peers.filter(
          (heartbeat) => heartbeat && isAhead(evidence, heartbeat),
        );
        fc.pre(peers.length > 0);
        expect(configurationAge({ ...evidence, peers }, NOW)).toBe(NOW - evidence.storeReadAt);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('accepts agreement only if every member agrees and no member has a write of unknown outcome', () => {
    fc.assert(
      fc.property(anyEvidence, (evidence) => {
        // All reads of the store are too old to count, so that agreement is the only evidence.
        const peers = evidence.peers.map(
          (heartbeat) =>
            heartbeat && { ...heartbeat, reply: { ...heartbeat.reply, storeAgeMs: 1e9 } },
        );
        const withoutReads = { ...evidence, peers, storeReadAt: 0 };
        const agrees = (heartbeat: PeerHeartbeat | undefined) =>
          heartbeat !== undefined && !heartbeat.reply.unsettled && !isAhead(evidence, heartbeat);
        const isAgreed = !evidence.isUnsettled && peers.every(agrees);
        const oldest = Math.min(NOW, ...peers.map((heartbeat) => heartbeat?.sentAt ?? 0));
        expect(configurationAge(withoutReads, NOW)).toBe(isAgreed ? NOW - oldest : NOW);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });
});
