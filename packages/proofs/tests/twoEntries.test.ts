import { CLIENT_PROBE_MS, sleep } from '@marjorammast/protocol';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import { DispatchSimulation } from './support/DispatchSimulation';
import type { SentJob } from './support/DispatchSimulation';

/** Seeds of the network delays and the placement, with which each case is played. */
const SEEDS = [1, 2, 3, 4, 5];

/** Time from sending a job to the break of its connection, in milliseconds. */
const BREAK_AFTER_MS = 40;

/** Time from the break to the second copy, in milliseconds. */
const RESEND_DELAY_MS = 1_300;

/** Largest part by which the kernel's timers are late. */
const TIMER_LATENESS = 1 / 8;

/** Time from the break until its entry has found it with a probe, at the latest, in milliseconds. */
const FOUND_AFTER_MS = CLIENT_PROBE_MS * (1 + TIMER_LATENESS) + 10;

const createSentJob = (digit: string, runMs: number): SentJob => ({
  id: digit.repeat(16),
  tasks: 2,
  spec: { runMs, cpu: 300 },
  estimateMs: runMs,
  deadlineMs: 8_000,
});

/** What is varied: times are in milliseconds, and a share is one of the commands to three of six workers. */
type Situation = { seed: number; runMs: number; pauseMs: number; foundMs?: number; late?: number };

/**
 * Plays clients that send eight jobs to the first entry. Their connections break, which this entry finds
 * after `foundMs` or never, and `pauseMs` after the break they send the jobs to the second entry.
 */
const playBreaks = async (situation: Situation): Promise<DispatchSimulation> => {
  const { seed, runMs, pauseMs, foundMs, late = 0 } = situation;
  const simulation = DispatchSimulation.create(seed, 2, 6);
  await jest.advanceTimersByTimeAsync(1_000);
  simulation.workers.slice(0, 3).forEach((worker) => {
    worker.lateShares = { start: late, stop: late, hold: late };
  });
  const leftAfterMs = foundMs === undefined ? undefined : BREAK_AFTER_MS + foundMs;
  const sendTwice = async (digit: string): Promise<void> => {
    const job = createSentJob(digit, runMs);
    void simulation.send(job, 0, leftAfterMs);
    await sleep(BREAK_AFTER_MS + pauseMs);
    await simulation.send(job, 1);
  };
  const clients = [...'01234567'].map(sendTwice);
  await jest.advanceTimersByTimeAsync(20_000);
  await Promise.all(clients);
  simulation.halt();
  return simulation;
};

describe('no task of a job that two entries have accepted has two runs at the same time', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe.each(SEEDS)('with seed %i', (seed) => {
    it.each([400, 1_200])(
      'when its runs of %i ms have ended before the second copy is sent',
      async (runMs) => {
        const simulation = await playBreaks({ seed, runMs, pauseMs: RESEND_DELAY_MS });
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.runs).toHaveLength(32);
      },
    );

    // The first entry held the job, with runs of any length, until the deadline of a client that was gone.
    it.each([1_400, 2_500])(
      'when the first entry finds with a probe that the client of runs of %i ms has left',
      async (runMs) => {
        const foundMs = FOUND_AFTER_MS;
        const simulation = await playBreaks({ seed, runMs, pauseMs: RESEND_DELAY_MS, foundMs });
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.runs).toHaveLength(32);
      },
    );
  });
});
