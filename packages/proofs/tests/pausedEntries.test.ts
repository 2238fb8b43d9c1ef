import fc from 'fast-check';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import type { DispatchSimulation } from './support/DispatchSimulation';
import { createSentJob, playPause, read, startDeployment } from './support/pausedEntry';
import type { OldRequest } from './support/pausedEntry';
import { holdTimersOfFrozenProcesses } from './support/processTimers';

/** Number of generated situations; set by `FAULT_RUNS`. */
const SITUATIONS = Number(process.env['FAULT_RUNS'] ?? 60);

const GENERATED_TIMEOUT_MS = 6 * 60 * 60 * 1_000;

/** Times of the first retransmissions of what a paused VM does not acknowledge, in milliseconds. */
const RETRANSMISSIONS_MS = [200, 600, 1_400, 3_000, 6_200];

/** First retransmission of bytes that is not in the pause, in milliseconds after its end. */
const firstArrivalMs = (sentAfterMs: number, pauseMs: number): number =>
  Math.min(...RETRANSMISSIONS_MS.map((ms) => sentAfterMs + ms - pauseMs).filter((ms) => ms >= 0));

/** Clients that have left before their jobs are read, and submit them elsewhere before or after that. */
const createRequests = (pauseMs: number, endAfterMs: number): OldRequest[] =>
  [50, 150, 300, 600].map((sentAfterMs) => ({
    sentAfterMs,
    readAfterMs: firstArrivalMs(sentAfterMs, pauseMs),
    endAfterMs,
    waitMs: 1_500,
    resendMs: 1_300,
  }));

const situationArbitrary = fc.record({
  seed: fc.integer({ min: 1, max: 1_000 }),
  pauseMs: fc.integer({ min: 400, max: 5_000 }),
  requests: fc.array(
    fc.record({
      sentAfterMs: fc.integer({ min: 0, max: 5_000 }),
      readAfterMs: fc.integer({ min: 1, max: 2_500 }),
      endAfterMs: fc.integer({ min: 0, max: 1_500 }),
      waitMs: fc.integer({ min: 100, max: 1_500 }),
      resendMs: fc.integer({ min: 0, max: 1_300 }),
    }),
    { minLength: 1, maxLength: 8 },
  ),
  further: fc.option(
    fc.record({
      afterMs: fc.integer({ min: 1, max: 1_500 }),
      lengthMs: fc.integer({ min: 300, max: 4_000 }),
    }),
    { nil: undefined },
  ),
});

/** Reads an old job at the first entry, which was paused, and submits it to the third one while it runs. */
const playHiddenCopy = async (simulation: DispatchSimulation): Promise<void> => {
  const connectedAt = performance.now() - 500;
  simulation.network.freeze('entry-0', true);
  await jest.advanceTimersByTimeAsync(3_200);
  simulation.network.freeze('entry-0', false);
  await jest.advanceTimersByTimeAsync(20);
  void read(simulation, createSentJob('9'), connectedAt, 1_000);
  await jest.advanceTimersByTimeAsync(200);
  void simulation.send(createSentJob('9'), 2);
  await jest.advanceTimersByTimeAsync(6_000);
  simulation.halt();
};

/** Submits small jobs to the first entry just after a pause. Returns the types of the outcomes. */
const serveAfterPause = async (
  simulation: DispatchSimulation,
  isKept: boolean,
): Promise<string[]> => {
  const connectedAt = performance.now() - 3_000;
  simulation.network.freeze('entry-0', true);
  await jest.advanceTimersByTimeAsync(2_000);
  simulation.network.freeze('entry-0', false);
  await jest.advanceTimersByTimeAsync(20);
  const outcomes: Promise<string>[] = [];
  for (let index = 0; index < 25; index += 1) {
    const job = createSentJob(`5${index.toString(36)}`, 30);
    const acceptedAt = isKept ? connectedAt : performance.now();
    outcomes.push(read(simulation, job, acceptedAt, 5_000).then(({ type }) => type));
    await jest.advanceTimersByTimeAsync(20);
  }
  await jest.advanceTimersByTimeAsync(3_000);
  return Promise.all(outcomes);
};

describe('an entry that was paused', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
    holdTimersOfFrozenProcesses();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against tasks that run at two entries: the client of a job that is read after a pause had left before.
  describe.each([1_000, 2_000, 3_200, 4_000])('for %i ms', (pauseMs) => {
    it.each([6, 46, 400, 1_200])(
      'starts no job that runs elsewhere, when the ends of the connections follow after %i ms',
      async (endAfterMs) => {
        const simulation = await startDeployment(1);
        await playPause(simulation, pauseMs, createRequests(pauseMs, endAfterMs));
        simulation.halt();
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        const completed = simulation.answers.filter(({ outcome }) => outcome.type === 'completed');
        expect(completed).toHaveLength(4);
      },
    );
  });

  // Guards against the same with any times: the client may submit the job elsewhere while it runs here.
  it(
    'starts no job that runs elsewhere, in generated situations',
    async () => {
      await fc.assert(
        fc.asyncProperty(situationArbitrary, async ({ seed, pauseMs, requests, further }) => {
          const simulation = await startDeployment(seed);
          const old = requests.map((request) => ({
            ...request,
            sentAfterMs: Math.min(request.sentAfterMs, pauseMs - 1),
          }));
          await playPause(simulation, pauseMs, old, further);
          simulation.halt();
          expect(checkDispatchGuarantees(simulation)).toEqual([]);
        }),
        { seed: 51, numRuns: SITUATIONS, endOnFailure: true },
      );
    },
    GENERATED_TIMEOUT_MS,
  );

  // The copy of a job comes 1.3 s after its client has left, at the earliest.
  it.each([100, 200, 290])(
    'starts no job that runs elsewhere after a pause of %i ms, which it does not notice',
    async (pauseMs) => {
      const simulation = await startDeployment(1);
      const requests = [10, 50, 90].map((sentAfterMs) => ({
        sentAfterMs,
        readAfterMs: firstArrivalMs(sentAfterMs, pauseMs),
        endAfterMs: 400,
        waitMs: 0,
        resendMs: 1_300,
      }));
      await playPause(simulation, pauseMs, requests);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
    },
  );

  // Guards against two entries that were paused, each of which takes its copy of a job for the only one.
  it.each([0, 3, 10, 300])(
    'starts no job that runs elsewhere, when the other entry resumes %i ms later',
    async (laterMs) => {
      const simulation = await startDeployment(1);
      const connectedAt = performance.now() - 500;
      const names = ['entry-0', 'entry-1'];
      names.forEach((name) => simulation.network.freeze(name, true));
      await jest.advanceTimersByTimeAsync(3_000);
      names.forEach((name, index) => {
        const job = createSentJob('7');
        setTimeout(() => simulation.network.freeze(name, false), index * laterMs + 1);
        setTimeout(
          () => void read(simulation, job, connectedAt, 2_000, index),
          index * laterMs + 5,
        );
      });
      await jest.advanceTimersByTimeAsync(6_000);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
    },
  );

  // Guards against a copy at an entry that the store hides from the paused one, but not from the others.
  it('starts no job that runs at an entry of which only another one knows', async () => {
    const simulation = await startDeployment(1);
    const entries = ['entry-0', 'entry-1'].map((name) => ({
      name,
      address: name,
      dataCenter: 'north',
    }));
    simulation.entries[0]?.node.updatePeers(entries);
    simulation.changeOperatorState({}, [0]);
    await playHiddenCopy(simulation);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
  });

  // Guards against a claim that has expired at the other entry when its answer is read.
  it.each([1, 2, 3, 5, 10, 40])(
    'claims jobs anew when it was paused again %i ms after it has read them',
    async (afterMs) => {
      const simulation = await startDeployment(1);
      const request = { sentAfterMs: 50, readAfterMs: 10, endAfterMs: 5_000, waitMs: 1_500 };
      const requests = [{ ...request, resendMs: 5_000 }];
      const further = { afterMs: 10 + afterMs, lengthMs: 3_900 };
      await playPause(simulation, 2_000, requests, further);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
    },
  );

  // Guards against a distrust that costs service: what is sent after the pause is served as always.
  it.each([
    ['kept', true],
    ['new', false],
  ])('serves all jobs that are sent on %s connections after it', async (_, isKept) => {
    const simulation = await startDeployment(1);
    const outcomes = await serveAfterPause(simulation, isKept);
    simulation.halt();
    expect(outcomes).toEqual(outcomes.map(() => 'completed'));
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
  });

  // Red (KNOWN-RED.txt): claims reach only the entries that this one or another one knows from the store.
  it('starts no job that runs at an entry of which no other one knows yet', async () => {
    const simulation = await startDeployment(1);
    const entries = ['entry-0', 'entry-1'].map((name) => ({
      name,
      address: name,
      dataCenter: 'north',
    }));
    simulation.entries.slice(0, 2).forEach(({ node }) => node.updatePeers(entries));
    await playHiddenCopy(simulation);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
  });

  it('refuses jobs on kept connections at once while another entry does not answer', async () => {
    const simulation = await startDeployment(1);
    simulation.network.cut('entry-0', 'entry-1', true);
    simulation.network.cut('entry-1', 'entry-0', true);
    const outcomes = await serveAfterPause(simulation, true);
    simulation.halt();
    expect(outcomes).toEqual(outcomes.map(() => 'refused'));
    expect(simulation.runs).toEqual([]);
  });

  it('serves jobs on new connections while another entry does not answer', async () => {
    const simulation = await startDeployment(1);
    simulation.network.cut('entry-0', 'entry-1', true);
    const outcomes = await serveAfterPause(simulation, false);
    simulation.halt();
    expect(outcomes).toEqual(outcomes.map(() => 'completed'));
  });
});
