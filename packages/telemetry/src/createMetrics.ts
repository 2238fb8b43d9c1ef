import { StatsD } from 'hot-shots';

/** Counters, gauges and timings of one process, in StatsD. */
export type Metrics = {
  count: (name: string, value?: number, tags?: Record<string, string>) => void;
  gauge: (name: string, value: number) => void;
  /** @param ms - duration in milliseconds */
  timing: (name: string, ms: number, tags?: Record<string, string>) => void;
  close: () => void;
};

/** Prefix of every metric name. */
const PREFIX = 'marjorammast.';

/** Fraction of the timings that are sent. */
const TIMING_SAMPLE_RATE = 0.1;

const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => undefined,
};

/**
 * Creates the StatsD metrics of one process.
 *
 * @param address - host and port of the StatsD server; without it metrics are discarded
 * @param node - name of the process, added as a tag to every metric
 * @returns the metrics
 */
export const createMetrics = (address: string | undefined, node: string): Metrics => {
  if (!address) return noMetrics;
  const [host, port] = address.split(':');
  const client = new StatsD({
    host,
    port: Number(port),
    prefix: PREFIX,
    globalTags: { node },
    maxBufferSize: 1_200,
    errorHandler: () => undefined,
  });
  return {
    count: (name, value = 1, tags = {}) => client.increment(name, value, tags),
    gauge: (name, value) => client.gauge(name, value),
    timing: (name, ms, tags = {}) => client.timing(name, ms, TIMING_SAMPLE_RATE, tags),
    close: () => client.close(),
  };
};
