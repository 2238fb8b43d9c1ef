import fc from 'fast-check';
import { MAX_CONFIGURATION_AGE_MS } from '@marjorammast/protocol';
import type { StartParams } from '@marjorammast/protocol';
import { checkStart, configurationAge } from '../src/checkStart';
import type { StartCheckView } from '../src/checkStart';

const SEED = 20261204;

const start: StartParams = {
  job: 'siam/one',
  index: 0,
  count: 1,
  digest: 'd',
  notAfter: 1_000_000,
  shard: 1,
  epoch: 3,
  kind: 'receipt-check',
  payload: null,
  deadlineMs: 1_000,
  version: 4,
  newsAgeMs: 100,
  echo: 5_000,
  heldMs: 50,
  credit: { slot: 0, generation: 1 },
};

const view: StartCheckView = {
  dataCenter: 'ayutthaya',
  agent: 'agent-1',
  configuration: { version: 4, outDataCenters: [], draining: [] },
  hasTarget: true,
  epoch: 3,
  isCreditValid: true,
  isKnownTask: false,
  isBarredTask: false,
  clock: 5_060,
  wallTime: 900_000,
};

describe('checkStart', () => {
  it('allows a start that fits the state of the agent', () => {
    expect(checkStart(start, view)).toBeUndefined();
  });

  it.each([
    ['duplicate', { isKnownTask: true }, {}],
    ['revoked', { isBarredTask: true }, {}],
    ['staleEpoch', { epoch: 4 }, {}],
    ['configurationBehind', {}, { version: 5 }],
    ['staleNews', { clock: 5_060 + MAX_CONFIGURATION_AGE_MS }, {}],
    [
      'dataCenterOut',
      { configuration: { ...view.configuration, outDataCenters: ['ayutthaya'] } },
      {},
    ],
    ['targetDraining', { configuration: { ...view.configuration, draining: ['agent-1'] } }, {}],
    ['noTarget', { hasTarget: false }, {}],
    ['expired', { wallTime: 1_000_001 }, {}],
    ['expired', {}, { deadlineMs: 0 }],
    ['staleCredit', { isCreditValid: false }, {}],
  ])('refuses a start for the reason %s', (refusal, changedView, changedStart) => {
    expect(checkStart({ ...start, ...changedStart }, { ...view, ...changedView })).toBe(refusal);
  });

  it('never underestimates the age of the configuration, whatever the transit times', () => {
    fc.assert(
      fc.property(
        fc.nat(5_000),
        fc.nat(5_000),
        fc.nat(60_000),
        fc.nat(5_000),
        fc.integer({ min: -1e6, max: 1e6 }),
        (ageAtSend, echoTransit, held, startTransit, offset) => {
          // The clocks of the agent and of the entry differ by an unknown offset.
          const echoSentAt = 1_000 + offset;
          const startReceivedAt = echoSentAt + echoTransit + held + startTransit;
          const sent = { ...start, newsAgeMs: ageAtSend, echo: echoSentAt, heldMs: held };
          expect(configurationAge(sent, startReceivedAt)).toBeGreaterThanOrEqual(
            ageAtSend + startTransit,
          );
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});
