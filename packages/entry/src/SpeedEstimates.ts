/** Run time assumed for a task about which nothing is known, in milliseconds. */
const UNKNOWN_RUN_MS = 200;

/** Learns how fast each agent's target runs each kind of work. */
export class SpeedEstimates {
  private readonly byKind = new Map<string, number>();

  /** Run time of an agent relative to the mean of the same kind. */
  private readonly byAgent = new Map<string, number>();

  private constructor(private readonly rate: () => number) {}

  /**
   * @param rate - weight of the newest observation, between 0 and 1
   * @returns estimates without observations
   */
  static create(rate: () => number): SpeedEstimates {
    return new SpeedEstimates(rate);
  }

  /**
   * Learns from a finished task.
   *
   * @param agent - where it ran
   * @param kind - kind of work
   * @param runMs - its run time, in milliseconds
   */
  observe(agent: string, kind: string, runMs: number): void {
    const rate = this.rate();
    const mean = this.byKind.get(kind) ?? runMs;
    this.byKind.set(kind, mean + rate * (runMs / this.factorOf(agent) - mean));
    const factor = this.factorOf(agent);
    const seen = Math.min(100, Math.max(0.01, runMs / Math.max(1, mean)));
    this.byAgent.set(agent, factor + rate * (seen - factor));
  }

  /** Run time of an agent relative to the mean; 1 when nothing is known. */
  factorOf(agent: string): number {
    return this.byAgent.get(agent) ?? 1;
  }

  /**
   * Predicts a run time.
   *
   * @param agent - where the task would run
   * @param kind - kind of work
   * @returns expected run time, in milliseconds
   */
  expect(agent: string, kind: string): number {
    return (this.byKind.get(kind) ?? UNKNOWN_RUN_MS) * this.factorOf(agent);
  }

  /** Forgets an agent. */
  forget(agent: string): void {
    this.byAgent.delete(agent);
  }
}
