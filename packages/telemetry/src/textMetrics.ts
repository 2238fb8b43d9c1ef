import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the latency histograms, in milliseconds. */
const BUCKETS_MS = [2, 5, 10, 20, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000];

/** Counters and latency histograms, served as text. */
export type TextMetrics = {
  counter: (name: string, help: string, labels: string[]) => Counter;
  histogram: (name: string, help: string, labels: string[]) => Histogram;
  /** @param read - called for each reading */
  gauge: (name: string, help: string, read: () => number) => Gauge;
  /** All metrics in the text format. */
  render: () => Promise<string>;
};

/**
 * Creates the metrics of one process.
 *
 * @returns an empty set of metrics
 */
export const createTextMetrics = (): TextMetrics => {
  const registry = new Registry();
  const registers = [registry];
  return {
    counter: (name, help, labelNames) => new Counter({ name, help, labelNames, registers }),
    histogram: (name, help, labelNames) =>
      new Histogram({ name, help, labelNames, buckets: BUCKETS_MS, registers }),
    gauge: (name, help, read) =>
      new Gauge({
        name,
        help,
        registers,
        collect() {
          this.set(read());
        },
      }),
    render: () => registry.metrics(),
  };
};
