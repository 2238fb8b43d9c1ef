/** Run time assumed for a kind of task without observations, in milliseconds. */
const DEFAULT_RUN_MS = 200;

/**
 * Estimates run times from exponentially weighted moving averages: one of the run time of each kind
 * of task, and one of the speed of each agent's target relative to the others.
 */
export class SpeedEstimates {
  /** Mean run time of each kind on a target of average speed, in milliseconds. */
  private readonly meanByKind = new Map<string, number>();

  /** Run times of an agent's target relative to the mean of the same kind. */
  private readonly factorByAgent = new Map<string, number>();

  private constructor(private readonly rate: () => number) {}

  /**
   * @param rate - returns the weight of the latest observation, between 0 and 1
   * @returns estimates without observations
   */
  static create(rate: () => number): SpeedEstimates {
    return new SpeedEstimates(rate);
  }

  /**
   * Adds the run time of a finished task.
   *
   * @param agent - agent whose target ran the task
   * @param kind - kind of task
   * @param runMs - run time, in milliseconds
   */
  observe(agent: string, kind: string, runMs: number): void {
    const rate = this.rate();
    const mean = this.meanByKind.get(kind) ?? runMs;
    this.meanByKind.set(kind, mean + rate * (runMs / this.factorOf(agent) - mean));
    const factor = this.factorOf(agent);
    const observedFactor = Math.min(100, Math.max(0.01, runMs / Math.max(1, mean)));
    this.factorByAgent.set(agent, factor + rate * (observedFactor - factor));
  }

  /** Run time at an agent relative to the mean; 1 for an agent without observations. */
  factorOf(agent: string): number {
    return this.factorByAgent.get(agent) ?? 1;
  }

  /**
   * Estimates a run time.
   *
   * @param agent - agent whose target would run the task
   * @param kind - kind of task
   * @returns expected run time, in milliseconds
   */
  expectedRunMs(agent: string, kind: string): number {
    return (this.meanByKind.get(kind) ?? DEFAULT_RUN_MS) * this.factorOf(agent);
  }

  /** Removes the estimate of an agent. */
  forget(agent: string): void {
    this.factorByAgent.delete(agent);
  }
}
