import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the buckets of the latency histograms, in milliseconds. */
const BUCKETS_MS = [2, 5, 10, 20, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000];

/** Counters, gauges and latency histograms in the Prometheus text format. */
export type PrometheusMetrics = {
  counter: (name: string, help: string, labels: string[]) => Counter;
  histogram: (name: string, help: string, labels: string[]) => Histogram;
  /** @param read - returns the current value; called whenever the metrics are rendered */
  gauge: (name: string, help: string, read: () => number) => Gauge;
  /** Renders all metrics in the Prometheus text format. */
  render: () => Promise<string>;
};

/**
 * Creates the Prometheus metrics of one process.
 *
 * @returns a registry without metrics
 */
export const createPrometheusMetrics = (): PrometheusMetrics => {
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
