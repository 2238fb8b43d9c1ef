import { CallError } from '@marjorammast/protocol';
import type {
  EntryLoadReport,
  Link,
  Params,
  RegisteredProcess,
  Result,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { ActiveJob } from './ActiveJob';
import { ClockReading } from './ClockReading';
import {
  ATTACH_TIMEOUT_MS,
  FORWARD_HEARTBEAT_MS,
  FORWARD_IDLE_MS,
  HEARTBEAT_TIMEOUT_MS,
  JOB_COST_MS,
  LOAD_WINDOW_MS,
  MAX_RECONNECT_BACKOFF_MS,
} from './constants';

/** What the link to a receiver needs from its entry. */
export type ReceiverLinkHost = {
  dial: (address: string) => Promise<Link>;
  /** True while jobs may have to be forwarded soon. */
  isNeeded: () => boolean;
  log: Log;
};

/** Parameters of a `forward` call without the fields that show the age of the message. */
export type ForwardedJob = Omit<Params<'forward'>, 'echo' | 'heldMs'>;

/** Age from which a report of the load is not used any more, in milliseconds. */
const MAX_LOAD_AGE_MS = 3 * FORWARD_HEARTBEAT_MS;

/** Time until an entry that does not take part in forwarding is asked again, in milliseconds. */
const UNSUPPORTED_RETRY_MS = 30_000;

/** The connection of an entry to another one to which it may forward jobs. It is open only while it is needed. */
export class ReceiverLink {
  /** The jobs that were forwarded and have no answer, with the time of the forwarding, in milliseconds. */
  private readonly jobs = new Map<ActiveJob, number>();

  private link: Link | undefined;

  private isOpening = false;

  private isClosed = false;

  private reading: ClockReading | undefined;

  private newestLoad: { load: EntryLoadReport; at: number; sent: number } | undefined;

  private timer: NodeJS.Timeout | undefined;

  private retryAt = 0;

  private neededAt = 0;

  /** Monotonic time until which no job is forwarded because one was declined. */
  pausedUntil = 0;

  private constructor(
    readonly peer: RegisteredProcess,
    private readonly host: ReceiverLinkHost,
  ) {}

  /**
   * @param peer - the other entry
   * @param host - what the link needs from its entry
   * @returns a link that is not open
   */
  static create(peer: RegisteredProcess, host: ReceiverLinkHost): ReceiverLink {
    return new ReceiverLink(peer, host);
  }

  /** Load of the receiver; `undefined` while it is not connected or has not reported lately. */
  get load(): EntryLoadReport | undefined {
    const { link, newestLoad } = this;
    if (!link?.isOpen || !newestLoad) return undefined;
    return performance.now() - newestLoad.at > MAX_LOAD_AGE_MS ? undefined : newestLoad.load;
  }

  /** Processor time of the jobs that were forwarded since the last report of the load, in cores. */
  get reservedCores(): number {
    return ((this.newestLoad?.sent ?? 0) * JOB_COST_MS) / LOAD_WINDOW_MS;
  }

  /** True while forwarded jobs have no answer. */
  get hasJobs(): boolean {
    return this.jobs.size > 0;
  }

  /**
   * @param job - a job
   * @returns true while it was forwarded on this link and has no answer
   */
  has(job: ActiveJob): boolean {
    return this.jobs.has(job);
  }

  /** Opens the link if it is needed, and closes it when it has not been needed for some time. */
  maintain(): void {
    const now = performance.now();
    if (this.host.isNeeded() || this.hasJobs) {
      this.neededAt = now;
      if (this.link) this.scheduleHeartbeat(0);
      else if (!this.isOpening && now >= this.retryAt) void this.open();
    } else if (this.link && now - this.neededAt > FORWARD_IDLE_MS) {
      this.link.close();
    }
  }

  /**
   * Forwards a job and waits for its end.
   *
   * @param job - the job
   * @param params - what is sent
   * @returns the receiver's answer
   * @throws CallError when there is no answer; unless its fault is `notSent`, the receiver may run the job
   */
  async forward(job: ActiveJob, params: ForwardedJob): Promise<Result<'forward'>> {
    if (!this.link?.isOpen) throw CallError.create('notSent', `${this.peer.name} not connected`);
    this.jobs.set(job, performance.now());
    if (this.newestLoad) this.newestLoad.sent += 1;
    this.scheduleHeartbeat(FORWARD_HEARTBEAT_MS);
    try {
      const answer = await this.link.call('forward', { ...params, ...this.ageFields() }, 0);
      this.updateLoad(answer.load);
      return answer;
    } finally {
      this.jobs.delete(job);
    }
  }

  /**
   * Tells the receiver that a job is not wanted any more.
   *
   * @param job - the job
   */
  withdraw(job: ActiveJob): void {
    this.link?.notify('withdraw', { jobs: [job.id] });
  }

  /** Closes the link for good; the receiver aborts the jobs. */
  close(): void {
    this.isClosed = true;
    this.link?.close();
  }

  private async open(): Promise<void> {
    this.isOpening = true;
    try {
      const link = await this.host.dial(this.peer.address);
      await this.connect(link);
    } catch (error) {
      const isUnsupported = error instanceof CallError && error.fault === 'remote';
      this.retryAt =
        performance.now() + (isUnsupported ? UNSUPPORTED_RETRY_MS : MAX_RECONNECT_BACKOFF_MS);
      this.logFailure('receiver_unreachable', error);
    } finally {
      this.isOpening = false;
    }
  }

  private async connect(link: Link): Promise<void> {
    try {
      const { clock, load } = await link.call('heartbeat', { heldMs: 0 }, ATTACH_TIMEOUT_MS);
      this.reading = ClockReading.create(clock);
      this.updateLoad(load);
    } catch (error) {
      link.close();
      throw error;
    }
    if (this.isClosed || !link.isOpen) {
      link.close();
      return;
    }
    this.link = link;
    link.onClose(() => this.handleClose());
    this.host.log.info({ peer: this.peer.name }, 'receiver_connected');
    this.scheduleHeartbeat(FORWARD_HEARTBEAT_MS);
  }

  private handleClose(): void {
    this.link = undefined;
    this.newestLoad = undefined;
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private scheduleHeartbeat(delayMs: number): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      void this.sendHeartbeat();
    }, delayMs);
  }

  private async sendHeartbeat(): Promise<void> {
    const { link } = this;
    if (!link || !(this.hasJobs || this.host.isNeeded())) return;
    this.scheduleHeartbeat(FORWARD_HEARTBEAT_MS);
    const sentAt = performance.now();
    try {
      const { clock, load, pending } = await link.call(
        'heartbeat',
        this.ageFields(),
        HEARTBEAT_TIMEOUT_MS,
      );
      this.reading?.update(clock);
      this.updateLoad(load);
      this.markStarted(new Set(pending), sentAt);
    } catch (error) {
      if (link.isOpen) this.logFailure('receiver_silent', error);
      this.retryAt = performance.now() + MAX_RECONNECT_BACKOFF_MS;
      link.close();
    }
  }

  /** Runs of jobs that are not pending at the receiver have been admitted. */
  private markStarted(pending: ReadonlySet<string>, asOf: number): void {
    this.jobs.forEach((forwardedAt, job) => {
      if (forwardedAt < asOf && !pending.has(job.id)) job.mayHaveRun = true;
    });
  }

  private updateLoad(load: EntryLoadReport): void {
    this.newestLoad = { load, at: performance.now(), sent: 0 };
  }

  private ageFields(): { echo?: number; heldMs: number } {
    if (!this.reading) return { heldMs: 0 };
    const { clock: echo, at } = this.reading;
    return { echo, heldMs: performance.now() - at };
  }

  private logFailure(event: string, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.host.log.warn({ peer: this.peer.name, detail }, event);
  }
}
