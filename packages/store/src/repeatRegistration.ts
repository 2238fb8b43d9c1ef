import { sleep } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';

/** Initial retry delay, in milliseconds; it doubles with each failed attempt. */
const RETRY_MS = 200;

/** Maximum retry delay, in milliseconds: until it is registered, an agent may not reach its worker. */
const MAX_RETRY_MS = 1_000;

/** Dependencies of {@link repeatRegistration}. */
export type RetryOptions = {
  /** Uniform random numbers in [0, 1): processes that start together do not retry together. */
  random: () => number;
  /** Logs each failed attempt. */
  log: Log;
};

/**
 * Repeats a registration until it succeeds.
 *
 * @param attempt - returns `undefined` when another process wrote in between; rejects when the store does not answer
 * @param options - dependencies
 * @returns the result of the attempt that succeeded
 */
export const repeatRegistration = async <T>(
  attempt: () => Promise<T | undefined>,
  { random, log }: RetryOptions,
): Promise<T> => {
  let pauseMs = RETRY_MS;
  for (;;) {
    let detail = 'another process has registered';
    try {
      const result = await attempt();
      if (result !== undefined) return result;
    } catch (error) {
      detail = error instanceof Error ? error.message : String(error);
    }
    const jitteredMs = Math.round(pauseMs * (0.5 + random() / 2));
    log.warn({ detail, pauseMs: jitteredMs }, 'registration_failed');
    await sleep(jitteredMs);
    pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
  }
};
