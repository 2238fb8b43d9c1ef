import { RUN_EXPIRY_MS } from '@marjorammast/dispatch/src/constants';
import {
  CLOCK_RATE_TOLERANCE,
  ENTRY_TIMEOUT_MS,
  LEASE_MS,
  MAX_ASSIGNMENT_AGE_MS,
} from '@marjorammast/gate/src/constants';
import { CLIENT_PROBE_MS } from '@marjorammast/protocol';

/** Time after which a client sends a job again whose connection broke, in milliseconds. */
const RESEND_DELAY_MS = 1_300;

/** Longest time that a worker takes to end a run, in milliseconds. */
const RUN_STOP_MS = 50;

/** Largest part by which the kernel's timers are late. */
const TIMER_LATENESS = 1 / 8;

/** Time for a probe and its answer, and for the stop of a run, from the entry to the worker, in milliseconds. */
const MESSAGES_MS = 50;

const LONGEST_RUN_MS = LEASE_MS * CLOCK_RATE_TOLERANCE + RUN_STOP_MS;

describe('times after which a run counts as ended', () => {
  // Guards against a second run while an agent whose answers are lost has not missed its entry yet.
  it('cover the silence after which an agent stops the runs of an entry, and their lease', () => {
    expect(RUN_EXPIRY_MS).toBeGreaterThanOrEqual(ENTRY_TIMEOUT_MS + LONGEST_RUN_MS);
  });

  it('cover the oldest assignment that an agent admits, and its lease', () => {
    expect(RUN_EXPIRY_MS).toBeGreaterThanOrEqual(MAX_ASSIGNMENT_AGE_MS + LONGEST_RUN_MS);
  });

  it('are over when a client sends its job again', () => {
    expect(ENTRY_TIMEOUT_MS + LONGEST_RUN_MS).toBeLessThan(RESEND_DELAY_MS);
    expect(RUN_EXPIRY_MS).toBeLessThan(RESEND_DELAY_MS);
  });

  // The stop of a run may get no answer; then the run lasts until its lease expires, which is too long here.
  it('are over when a client sends its job again whose break only a probe has shown', () => {
    const foundAfterMs = CLIENT_PROBE_MS * (1 + TIMER_LATENESS);
    expect(foundAfterMs + MESSAGES_MS + RUN_STOP_MS).toBeLessThan(RESEND_DELAY_MS);
  });
});
