/** Set of callers that wait for the same event, each with a timeout. */
export class Waiters {
  private readonly waiting = new Set<() => void>();

  private constructor() {}

  /** @returns an empty set of waiters */
  static create(): Waiters {
    return new Waiters();
  }

  /**
   * Waits until {@link wakeAll} is called or the timeout passes.
   *
   * @param waitMs - timeout, in milliseconds
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

  /** Ends all waits. */
  wakeAll(): void {
    [...this.waiting].forEach((wake) => wake());
  }
}

/** Returns a promise that never settles, to simulate a server that does not answer. */
export const neverResolve = (): Promise<never> =>
  new Promise(() => {
    // Left pending on purpose.
  });
