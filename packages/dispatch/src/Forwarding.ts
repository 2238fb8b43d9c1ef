import type { Handlers, Link } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { UtilizationThresholds } from './chooseForwarding';
import { LOAD_WINDOW_MS } from './constants';
import { EntryLoad } from './EntryLoad';
import type { ProcessUsage } from './EntryLoad';
import { ForwardedJobs } from './ForwardedJobs';
import type { ForwardedJobsHost } from './ForwardedJobs';
import { JobForwarder } from './JobForwarder';
import type { ForwardAnswer } from './JobForwarder';

/** How an entry takes part in forwarding. */
export type ForwardingOptions = UtilizationThresholds & {
  /** Largest number of entries to which it forwards jobs. */
  maxPeers: number;
  /** Processor time that the entry may use, in cores. */
  processorCores: number;
  /** Reads the usage of this process. */
  readUsage: () => ProcessUsage;
  /** Counts the answers to forwarded jobs. */
  meter: (answer: ForwardAnswer) => void;
};

/** What forwarding needs from its entry. */
export type ForwardingHost = Omit<ForwardedJobsHost, 'load' | 'findObstacle'> & {
  /** Name of the entry. */
  entry: string;
  dataCenter: string;
  findObstacle: (
    ...args: Parameters<ForwardedJobsHost['findObstacle']>
  ) => 'stopping' | 'workers' | undefined;
  isStopping: () => boolean;
  dial: (address: string) => Promise<Link>;
  random: () => number;
  log: Log;
};

/** Both sides of forwarding, and the load of the entry that they share. */
export class Forwarding {
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    readonly load: EntryLoad,
    /** The sender's side. */
    readonly sender: JobForwarder,
    private readonly receiver: ForwardedJobs,
    private readonly readUsage: () => ProcessUsage,
  ) {
    this.scheduleWindow();
  }

  /**
   * @param options - how the entry takes part
   * @param host - what forwarding needs from its entry
   * @returns forwarding of an entry that is idle
   */
  static create(options: ForwardingOptions, host: ForwardingHost): Forwarding {
    const { maxPeers, processorCores, readUsage, meter } = options;
    const load = EntryLoad.create(options, processorCores, readUsage());
    const { entry, dataCenter, dial, random, log } = host;
    const sender = JobForwarder.create({
      ...{ entry, dataCenter, thresholds: options, maxPeers, load, dial, random, meter, log },
    });
    const receiver = ForwardedJobs.create({
      ...host,
      findObstacle: (route) => host.findObstacle(route) ?? (load.hasSpareTime ? undefined : 'load'),
      load: () => load.report(!host.isStopping()),
    });
    return new Forwarding(load, sender, receiver, readUsage);
  }

  /** Handlers of the calls of other entries. */
  get handlers(): Handlers {
    return this.receiver.handlers;
  }

  /** Stops at once; the jobs of other entries end. */
  halt(): void {
    clearTimeout(this.timer);
    this.sender.halt();
    this.receiver.halt();
  }

  private scheduleWindow(): void {
    this.timer = setTimeout(() => {
      this.load.update(this.readUsage());
      this.sender.maintain();
      this.scheduleWindow();
    }, LOAD_WINDOW_MS);
  }
}
