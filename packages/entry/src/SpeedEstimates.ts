/** Run time assumed for a task about which nothing is known, in milliseconds. */
const DEFAULT_RUN_MS = 200;

/** Learns how fast each agent's target runs each kind of work. */
export class SpeedEstimates {
  private readonly meanByKind = new Map<string, number>();

  /** Run time of an agent relative to the mean of the same kind. */
  private readonly factorByAgent = new Map<string, number>();

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
    const mean = this.meanByKind.get(kind) ?? runMs;
    this.meanByKind.set(kind, mean + rate * (runMs / this.factorOf(agent) - mean));
    const factor = this.factorOf(agent);
    const observedFactor = Math.min(100, Math.max(0.01, runMs / Math.max(1, mean)));
    this.factorByAgent.set(agent, factor + rate * (observedFactor - factor));
  }

  /** Run time of an agent relative to the mean; 1 when nothing is known. */
  factorOf(agent: string): number {
    return this.factorByAgent.get(agent) ?? 1;
  }

  /**
   * Predicts a run time.
   *
   * @param agent - where the task would run
   * @param kind - kind of work
   * @returns expected run time, in milliseconds
   */
  expectedRunMs(agent: string, kind: string): number {
    return (this.meanByKind.get(kind) ?? DEFAULT_RUN_MS) * this.factorOf(agent);
  }

  /** Forgets an agent. */
  forget(agent: string): void {
    this.factorByAgent.delete(agent);
  }
}
