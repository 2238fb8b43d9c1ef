/**
 * Reading of a hybrid logical clock (Kulkarni et al. 2014): wall-clock milliseconds, and a counter
 * that orders readings with the same milliseconds.
 */
export type HybridTime = [number, number];

/** Value of one field of an event. */
export type FieldValue = string | number | boolean;

/** One recorded event. */
export type RecordedEvent = {
  time: HybridTime;
  node: string;
  type: string;
  fields: Record<string, FieldValue>;
};

/** Default number of events that one process keeps. */
const DEFAULT_CAPACITY = 4_096;

/**
 * Compares two hybrid times, for sorting.
 *
 * @param a - first time
 * @param b - second time
 * @returns negative when `a` is earlier, positive when it is later
 */
export const compareTimes = (a: HybridTime, b: HybridTime): number => a[0] - b[0] || a[1] - b[1];

/** Ring buffer of the latest events of one process, ordered by a hybrid logical clock. */
export class Timeline {
  private readonly ring: RecordedEvent[] = [];

  private nextIndex = 0;

  private lastTime: HybridTime = [0, 0];

  private constructor(
    private readonly node: string,
    private readonly capacity: number,
  ) {}

  /**
   * @param node - name of the process
   * @param capacity - maximum number of events
   * @returns an empty timeline
   */
  static create(node: string, capacity: number = DEFAULT_CAPACITY): Timeline {
    return new Timeline(node, capacity);
  }

  /**
   * Records an event.
   *
   * @param type - type of the event
   * @param fields - details of the event
   */
  record(type: string, fields: Record<string, FieldValue> = {}): void {
    this.ring[this.nextIndex] = { time: this.tick(), node: this.node, type, fields };
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
  }

  /**
   * Advances the clock past a time received from another process.
   *
   * @param time - the received time
   */
  observe(time: HybridTime): void {
    if (compareTimes(time, this.lastTime) > 0) this.lastTime = [time[0], time[1]];
  }

  /** Advances the clock and returns its new time. */
  now(): HybridTime {
    return this.tick();
  }

  /**
   * Selects recent events.
   *
   * @param sinceMs - maximum age of the events, in milliseconds
   * @param job - selects only events of this job, if given
   * @returns the events in order of time
   */
  select(sinceMs: number, job?: string): RecordedEvent[] {
    const earliestMs = Date.now() - sinceMs;
    return this.ring
      .filter((event) => event.time[0] >= earliestMs && (!job || event.fields['job'] === job))
      .sort((a, b) => compareTimes(a.time, b.time));
  }

  private tick(): HybridTime {
    const wallMs = Date.now();
    this.lastTime =
      wallMs > this.lastTime[0] ? [wallMs, 0] : [this.lastTime[0], this.lastTime[1] + 1];
    return this.lastTime;
  }
}
