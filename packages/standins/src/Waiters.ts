/** Callers that wait for something to happen, each for a limited time. */
export class Waiters {
  private readonly waiting = new Set<() => void>();

  private constructor() {}

  /** @returns nobody waiting */
  static create(): Waiters {
    return new Waiters();
  }

  /**
   * Waits until {@link wakeAll} or until time is up.
   *
   * @param waitMs - longest time, in milliseconds
   */
  wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      setTimeout(wake, waitMs).unref();
      this.waiting.add(wake);
    });
  }

  /** Ends every wait. */
  wakeAll(): void {
    [...this.waiting].forEach((wake) => wake());
  }
}

/** Never resolves: a server that does not answer. */
export const forever = (): Promise<never> =>
  new Promise(() => {
    // Nobody resolves it.
  });
