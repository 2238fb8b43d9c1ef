import { createSuspendAwareClock, setIoTimeout } from '@marjorammast/protocol';
import type {
  EntryLoadReport,
  ForwardDeclineReason,
  Handlers,
  Link,
  Params,
  Result,
  Route,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { MAX_FORWARD_AGE_MS, SENDER_TIMEOUT_MS } from './constants';
import type { JobOutcome, JobRequest } from './job';

/** A job of another entry that this one runs. */
export type ForwardedSubmission = {
  route: Route;
  job: JobRequest;
  /** Time in which the sender needs the answer, in milliseconds. */
  remainingMs: number;
  /** Aborts when the sender withdraws the job or is lost. */
  signal: AbortSignal;
  /** True while the sender is certain to want the job, or was so until recently. */
  mayStart: () => boolean;
};

/** What the forwarded jobs need from their entry. */
export type ForwardedJobsHost = {
  findRoute: (name: string) => Route | undefined;
  /** Version of the operators' configuration. */
  version: () => number;
  /** Tells why the entry takes no job of other entries, or none of a route. */
  findObstacle: (route: Route) => 'load' | 'stopping' | 'workers' | undefined;
  /** True while a job is open that this entry has forwarded itself. */
  isForwarded: (job: string) => boolean;
  /** True while no run of an open job has been admitted. */
  isPending: (job: string) => boolean;
  load: () => EntryLoadReport;
  run: (submission: ForwardedSubmission) => Promise<JobOutcome>;
  log: Log;
};

type Sender = {
  link: Link;
  /** Latest monotonic time at which the sender was certainly alive, in milliseconds. */
  lastContactAt: number;
  /** The same on the clock that counts suspensions of the VM. */
  lastContactClock: number;
  /** Jobs that have not been answered, with what aborts each of their submissions. */
  jobs: Map<string, Set<AbortController>>;
};

/** The receiver's side of forwarding: the jobs of other entries that this entry runs as its own. */
export class ForwardedJobs {
  private readonly senders = new Map<Link, Sender>();

  /** Clock by which the age of messages is told. What was sent before a suspension of the VM is as old as that. */
  private readonly clock = createSuspendAwareClock();

  /** Set while senders with jobs are watched. */
  private clearSilenceTimeout: (() => void) | undefined;

  private constructor(private readonly host: ForwardedJobsHost) {}

  /**
   * @param host - what the jobs need from their entry
   * @returns no jobs
   */
  static create(host: ForwardedJobsHost): ForwardedJobs {
    return new ForwardedJobs(host);
  }

  /** Handlers of the calls of senders. */
  get handlers(): Handlers {
    return {
      forward: (params, link) => this.forward(params, this.senderOf(link)),
      withdraw: ({ jobs }, link) => {
        const sender = this.senderOf(link);
        jobs.forEach((job) => sender.jobs.get(job)?.forEach((submission) => submission.abort()));
        return {};
      },
      heartbeat: (params, link) => {
        const sender = this.senderOf(link);
        this.recordContact(sender, params);
        const pending = [...sender.jobs.keys()].filter((job) => this.host.isPending(job));
        return { clock: this.clock(), load: this.host.load(), pending };
      },
    };
  }

  /** Closes the connections to all senders, which ends their jobs. */
  halt(): void {
    this.clearSilenceTimeout?.();
    this.senders.forEach(({ link }) => link.close());
  }

  private senderOf(link: Link): Sender {
    const known = this.senders.get(link);
    if (known) return known;
    const sender: Sender = {
      link,
      lastContactAt: -Infinity,
      lastContactClock: -Infinity,
      jobs: new Map(),
    };
    this.senders.set(link, sender);
    link.onClose(() => this.remove(sender));
    return sender;
  }

  private remove({ link, jobs }: Sender): void {
    this.senders.delete(link);
    if (jobs.size > 0) this.host.log.warn({ peer: link.name, jobs: jobs.size }, 'sender_lost');
    jobs.forEach((submissions) => submissions.forEach((submission) => submission.abort()));
  }

  /**
   * Records when the sender was alive, by its echo of this process's clock. The time of arrival does not show it, since
   * the message may have waited in the socket while this process was paused.
   */
  private recordContact(sender: Sender, { echo, heldMs = 0 }: { echo?: number; heldMs?: number }) {
    if (echo === undefined) return;
    const ageMs = Math.max(0, this.clock() - (echo + heldMs));
    sender.lastContactAt = Math.max(sender.lastContactAt, performance.now() - ageMs);
    sender.lastContactClock = Math.max(sender.lastContactClock, this.clock() - ageMs);
  }

  /** After a step of the wall clock, a sender counts as not heard until its next heartbeat. */
  private isHeard({ link, lastContactClock }: Sender): boolean {
    return link.isOpen && this.clock() - lastContactClock < SENDER_TIMEOUT_MS;
  }

  /** A step of the wall clock does not make a sender silent. */
  private isSilent({ lastContactAt }: Sender): boolean {
    return performance.now() - lastContactAt >= SENDER_TIMEOUT_MS;
  }

  private async forward(params: Params<'forward'>, sender: Sender): Promise<Result<'forward'>> {
    this.recordContact(sender, params);
    const route = this.host.findRoute(params.route);
    const reason = this.findDeclineReason(params, route);
    if (!route || reason) {
      return { type: 'declined', reason: reason ?? 'route', load: this.host.load() };
    }
    const outcome = await this.runJob(params, route, sender);
    return { type: 'ended', outcome, load: this.host.load() };
  }

  private findDeclineReason(
    { job, version, echo = -Infinity, heldMs = 0 }: Params<'forward'>,
    route: Route | undefined,
  ): ForwardDeclineReason | undefined {
    const { host } = this;
    if (this.clock() - (echo + heldMs) > MAX_FORWARD_AGE_MS) return 'stale';
    if (version > host.version()) return 'configuration';
    if (!route) return 'route';
    if (host.isForwarded(job.id)) return 'forwarded';
    return host.findObstacle(route);
  }

  private async runJob(
    { job, remainingMs }: Params<'forward'>,
    route: Route,
    sender: Sender,
  ): Promise<JobOutcome> {
    const submission = new AbortController();
    const submissions = sender.jobs.get(job.id) ?? new Set();
    sender.jobs.set(job.id, submissions.add(submission));
    this.watchSilence();
    try {
      const { signal } = submission;
      const mayStart = () => !signal.aborted && this.isHeard(sender);
      return await this.host.run({ route, job, remainingMs, signal, mayStart });
    } finally {
      submissions.delete(submission);
      if (submissions.size === 0) sender.jobs.delete(job.id);
    }
  }

  /** Watches for silent senders for as long as there are jobs. */
  private watchSilence(): void {
    if (this.clearSilenceTimeout) return;
    const contactTimes = [...this.senders.values()].flatMap(({ jobs, lastContactAt }) =>
      jobs.size > 0 ? [lastContactAt] : [],
    );
    if (contactTimes.length === 0) return;
    const delayMs = Math.min(...contactTimes) + SENDER_TIMEOUT_MS - performance.now();
    this.clearSilenceTimeout = setIoTimeout(
      () => {
        this.clearSilenceTimeout = undefined;
        this.closeSilent();
        this.watchSilence();
      },
      Math.max(1, Math.ceil(delayMs)),
    );
  }

  private closeSilent(): void {
    [...this.senders.values()]
      .filter((sender) => sender.jobs.size > 0 && this.isSilent(sender))
      .forEach(({ link, lastContactAt }) => {
        const silentMs = Math.round(performance.now() - lastContactAt);
        this.host.log.warn({ peer: link.name, silentMs }, 'sender_silent');
        link.close();
      });
  }
}
