import { waitForPoll } from './waitForPoll';

/** Time between two readings of the clocks, in milliseconds. */
const READING_PERIOD_MS = 100;

/** Time without a reading from which the process counts as paused, in milliseconds. */
const MIN_PAUSE_MS = 300;

/**
 * Time without a reading from which it counts as paused even if it used the processor meanwhile, in milliseconds.
 * Below it, a process at its limit is late, and its kernel went on receiving.
 */
const MIN_BUSY_PAUSE_MS = 1_000;

/**
 * What was sent to a paused VM is sent again after at most the length of the pause, or twice that if one more
 * packet is lost. The remaining time covers the first retransmission timeouts.
 */
const RETRANSMISSION_FACTOR = 4;

/** See {@link RETRANSMISSION_FACTOR}; in milliseconds. */
const RETRANSMISSION_MARGIN_MS = 1_000;

/**
 * Time after the first poll of the sockets that follows a pause in which the accepted connections may have been opened
 * during the pause, in milliseconds.
 */
const ACCEPT_MARGIN_MS = 10;

/** A time in which the process did not run. */
export type Pause = {
  /** Monotonic time at which the end of the pause was noticed, in milliseconds. */
  endedAt: number;
  /** Longest time that it may have lasted, in milliseconds. */
  lengthMs: number;
  /**
   * Part of it that the monotonic clock did not count, in milliseconds: a suspension of the VM, or a forward step
   * of the wall clock, from which it cannot be told.
   */
  suspendedMs: number;
  /** True when the monotonic clock shows no pause, so that it may be a step of the wall clock. */
  mayBeStep: boolean;
};

/** Dependencies of a pause detector. */
export type PauseDetectorOptions = {
  /** Reads the processor time that this process has used, in milliseconds. */
  readProcessorMs: () => number;
  /** Called with each pause, as soon as it is noticed. */
  onPause: (pause: Pause) => void;
};

/** A pause, and the monotonic time from which accepted connections were opened after it, in milliseconds. */
type RecentPause = Pause & { newConnectionsFrom: number };

type ClockReadings = { steady: number; wall: number; processor: number };

const doubtEndOf = ({ endedAt, lengthMs }: Pause): number =>
  endedAt + RETRANSMISSION_FACTOR * lengthMs + RETRANSMISSION_MARGIN_MS;

/**
 * Notices that the process was paused: stopped, suspended with its VM, or blocked. What it reads afterwards may be as
 * old as the pause, and older: while a VM is suspended nothing is acknowledged, so that TCP sends it again
 * after ever longer times, also some time after the VM has resumed.
 */
export class PauseDetector {
  private last: ClockReadings;

  private pauses: RecentPause[] = [];

  private pauseCount = 0;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: PauseDetectorOptions) {
    this.last = this.readClocks();
    this.schedule();
  }

  /**
   * @param options - dependencies of the detector
   * @returns a detector that reads the clocks until it is stopped
   */
  static create(options: PauseDetectorOptions): PauseDetector {
    return new PauseDetector(options);
  }

  /** Number of pauses that were noticed. */
  get count(): number {
    return this.pauseCount;
  }

  /** Reads the clocks. To be called before something is done that relies on the age of what was read. */
  check(): void {
    const { steady, wall, processor } = this.last;
    const steadyMs = performance.now() - steady;
    const wallMs = Date.now() - wall;
    const lengthMs = Math.max(steadyMs, wallMs);
    if (lengthMs < READING_PERIOD_MS / 2 && wallMs >= 0) return;
    this.last = this.readClocks();
    const idleMs = lengthMs - (this.last.processor - processor);
    if (lengthMs < MIN_BUSY_PAUSE_MS && idleMs < MIN_PAUSE_MS) return;
    const unseenMs = Math.round(wallMs - steadyMs);
    const suspendedMs = unseenMs < MIN_PAUSE_MS ? 0 : unseenMs;
    this.record({
      endedAt: this.last.steady,
      lengthMs: Math.round(lengthMs),
      suspendedMs,
      mayBeStep: steadyMs < MIN_PAUSE_MS + READING_PERIOD_MS && suspendedMs > 0,
    });
  }

  /**
   * Tells whether what arrives on a connection now may have been sent before a pause had ended.
   *
   * @param connectedAt - monotonic time at which the connection was accepted, in milliseconds
   * @returns the longest age that it may have, in milliseconds; `undefined` when it was sent after the last pause
   */
  findLongestAge(connectedAt: number): number | undefined {
    this.check();
    const now = performance.now();
    this.pauses = this.pauses.filter((pause) => now < doubtEndOf(pause));
    const first = this.pauses.find(({ newConnectionsFrom }) => connectedAt < newConnectionsFrom);
    if (!first) return undefined;
    const later = this.pauses.slice(this.pauses.indexOf(first) + 1);
    const suspendedMs = later.reduce((sum, pause) => sum + pause.suspendedMs, 0);
    return now - first.endedAt + first.lengthMs + suspendedMs;
  }

  /**
   * Forgets a pause that has turned out to be a step of the wall clock.
   *
   * @param pause - the pause
   */
  dismiss(pause: Pause): void {
    this.pauses = this.pauses.filter((other) => other !== pause);
  }

  /** Stops reading the clocks. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private record(pause: Pause): void {
    const recent = { ...pause, newConnectionsFrom: Infinity };
    this.pauses.push(recent);
    this.pauseCount += 1;
    // Until then the connections that were opened during the pause are accepted.
    void waitForPoll().then(() => {
      recent.newConnectionsFrom = performance.now() + ACCEPT_MARGIN_MS;
    });
    this.options.onPause(recent);
  }

  private schedule(): void {
    this.timer = setTimeout(() => {
      this.check();
      this.schedule();
    }, READING_PERIOD_MS);
    this.timer.unref();
  }

  private readClocks(): ClockReadings {
    const processor = this.options.readProcessorMs();
    return { steady: performance.now(), wall: Date.now(), processor };
  }
}
