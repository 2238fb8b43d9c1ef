import { sleep } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { createRandom } from '../bench/workload';
import { DispatchDeployment } from '../local/DispatchDeployment';
import type { Daemon } from '../local/DispatchDeployment';
import { DelayedClients } from './DelayedClients';
import { drawFault } from './faults';
import type { Fault, PowerLoss } from './faults';
import { FaultInjector } from './FaultInjector';
import { LinkProxies } from './LinkProxies';
import { SoakChecker } from './SoakChecker';
import { SoakClients } from './SoakClients';

/** Processor time in the settings of the first entry, in cores; so little that it forwards most of its jobs. */
const OVERLOADED_ENTRY_CORES = 0.02;

const createForwardingSettings = (entry: number): object => ({
  forwarding: { highUtilization: 0.7, lowUtilization: 0.5, maxPeers: 2 },
  ...(entry === 0 ? { processorCores: { cores: OVERLOADED_ENTRY_CORES } } : {}),
});

/** Parameters of a soak test. */
export type SoakPlan = {
  /** Seed of the faults; the clients use `seed + 1`. */
  seed: number;
  /** Time during which faults are injected and jobs are submitted, in milliseconds. */
  durationMs: number;
  /** Number of entry processes. */
  entries: number;
  /** Number of workers, each with an agent process. */
  workers: number;
  /** True when some tasks crash their workers and capacities change. */
  hasCrashes: boolean;
};

/** Result of a soak test. */
export type SoakReport = {
  /** Descriptions of the violated guarantees. */
  violations: readonly string[];
  /** Number of submitted jobs. */
  jobs: number;
  /** Number of runs that workers started. */
  starts: number;
  /** Largest number of crashes under one task that crashes its workers. */
  mostCrashes: number;
  /** Number of drawn faults. */
  faults: number;
  /** Number of calls by HTTP status, `broken` or `left`. */
  outcomes: Readonly<Record<string, number>>;
  /** Folder with the logs of all daemons. */
  logs: string;
};

/** Deployment under test, its fault injector and the clients that submit jobs to it. */
type SoakContext = {
  deployment: DispatchDeployment;
  injector: FaultInjector;
  clients: SoakClients;
  delayedClients: DelayedClients;
};

/**
 * Longest time from the restart after a power loss until jobs are completed again, in milliseconds,
 * as in the operators' documentation.
 */
const RECOVERY_LIMIT_MS = 12_000;

/** Time from the end of the last fault to the check of the recovery, in milliseconds. */
const SETTLE_MS = 6_000;

/** Interval at which worker events are collected, in milliseconds. */
const POLL_MS = 50;

/** Lowest clock rate that the platform allows; every second worker of the test has it. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Mean pause before the capacity of a worker shrinks, and mean time until it grows, in milliseconds. */
const MEAN_CAPACITY_CHANGE_MS = 2_000;

/** Factor by which a capacity shrinks. */
const SHRINK_FACTOR = 1 / 2;

/** Number of jobs submitted at the end to check the recovery. */
const PROBES = 10;

/** Failed runs after which a job fails, as in the configuration of the deployment. */
const MAX_FAILED_RUNS = 2;

const daemonsOf = ({ entries, agents }: DispatchDeployment): Daemon[] => [...entries, ...agents];

/** Soak test: runs the real programs under injected faults and checks their guarantees. */
export class Soak {
  private readonly links = LinkProxies.create();

  /** Number of events that were already collected, by worker. */
  private readonly collectedEventCounts: number[] = [];

  private readonly activeFaults = new Set<Promise<unknown>>();

  private faultCount = 0;

  private readonly random: () => number;

  private readonly checker: SoakChecker;

  private constructor(
    private readonly plan: SoakPlan,
    private readonly log: Log,
  ) {
    this.random = createRandom(plan.seed);
    this.checker = SoakChecker.create({
      entries: Array.from({ length: plan.entries }, (_, index) => `entry-${index}`),
      agentOf: (worker) => worker.replace('i-', 'agent-'),
      maxFailedRuns: MAX_FAILED_RUNS,
    });
  }

  /**
   * @param plan - parameters of the test
   * @param log - log for the start and the end of each fault
   * @returns a soak test that has not started
   */
  static create(plan: SoakPlan, log: Log): Soak {
    return new Soak(plan, log);
  }

  /**
   * Runs the test.
   *
   * @returns the violations and counters
   */
  async run(): Promise<SoakReport> {
    const { entries, workers } = this.plan;
    const deployment = await DispatchDeployment.create(entries, workers, {
      resolveAddress: (...path) => this.links.addProxy(...path),
      entryFields: createForwardingSettings,
    });
    const injector = FaultInjector.create({
      deployment,
      links: this.links,
      forbidStarts: (...ban) => this.checker.forbidStarts(...ban),
    });
    deployment.workers
      .filter((_, index) => index % 2 === 1)
      .forEach((worker) => worker.restart(SLOWEST_CLOCK_RATE));
    try {
      return await this.runWorkload(deployment, injector);
    } finally {
      injector.markEnded(daemonsOf(deployment));
      await deployment.stop();
      this.links.close();
    }
  }

  private async runWorkload(
    deployment: DispatchDeployment,
    injector: FaultInjector,
  ): Promise<SoakReport> {
    const { entries, durationMs, seed, hasCrashes } = this.plan;
    const collectEvents = () => this.collectEvents(deployment, injector);
    const clients = SoakClients.create({
      deployment,
      entries,
      hasCrashingTasks: hasCrashes,
      random: createRandom(seed + 1),
      onFinished: (job) => {
        collectEvents();
        this.checker.checkJob(job);
      },
    });
    const collector = setInterval(collectEvents, POLL_MS);
    const end = performance.now() + durationMs;
    const delayedClients = DelayedClients.create({ deployment, entries, log: this.log });
    const context = { deployment, injector, clients, delayedClients };
    await Promise.all([
      clients.run(end),
      this.injectFaults(end, context),
      hasCrashes && this.changeCapacities(end, context),
    ]);
    await this.checkSettled(context);
    clearInterval(collector);
    collectEvents();
    deployment.workers
      .flatMap(({ overloads }) => overloads)
      .forEach((overload) => this.checker.report(`capacity: ${overload}`));
    return {
      violations: this.checker.violations,
      jobs: clients.jobs,
      starts: this.checker.starts,
      mostCrashes: this.checker.mostCrashesOfTask,
      faults: this.faultCount,
      outcomes: Object.fromEntries(clients.outcomes),
      logs: deployment.logFolder,
    };
  }

  /** Passes new worker events to the checker and reports daemons that exited unexpectedly. */
  private collectEvents(deployment: DispatchDeployment, injector: FaultInjector): void {
    const newEvents = deployment.workers.flatMap(({ events }, index) => {
      const from = this.collectedEventCounts[index] ?? 0;
      this.collectedEventCounts[index] = events.length;
      return events.slice(from);
    });
    this.checker.addWorkerEvents(newEvents);
    daemonsOf(deployment)
      .filter((daemon) => daemon.process.exitCode !== null && !injector.isEndedOnPurpose(daemon))
      .forEach((daemon) => {
        injector.markEnded([daemon]);
        this.checker.report(
          `unexpected exit: ${daemon.name} exited with code ${daemon.process.exitCode}`,
        );
      });
  }

  private async injectFaults(end: number, context: SoakContext): Promise<void> {
    while (performance.now() < end) {
      const fault = drawFault(this.random);
      await sleep(fault.pauseMs);
      this.faultCount += 1;
      const injected =
        fault.kind === 'powerLoss'
          ? this.injectPowerLoss(fault, context)
          : this.injectFault(fault, context);
      this.activeFaults.add(injected);
      void injected.finally(() => this.activeFaults.delete(injected));
      // The recovery time of a power loss is checked, so no other fault may run at the same time.
      if (fault.kind === 'powerLoss') await injected;
    }
    await Promise.all(this.activeFaults);
  }

  /** Shrinks the capacity of one worker after the other, and lets it grow again. */
  private async changeCapacities(end: number, { deployment }: SoakContext): Promise<void> {
    const random = createRandom(this.plan.seed + 2);
    const wait = () => sleep(2 * MEAN_CAPACITY_CHANGE_MS * random());
    while (performance.now() < end) {
      await wait();
      const worker = deployment.workers[Math.floor(random() * deployment.workers.length)];
      worker?.scaleCapacity(SHRINK_FACTOR);
      await wait();
      worker?.scaleCapacity(1 / SHRINK_FACTOR);
    }
  }

  private async injectFault(
    fault: Fault,
    { injector, delayedClients }: SoakContext,
  ): Promise<void> {
    const activeFault = injector.start(fault);
    if (!activeFault) return;
    const { kind, durationMs } = fault;
    const { component, isPlanned = false, undo } = activeFault;
    const span = { component, from: performance.now(), to: Infinity, isPlanned };
    this.checker.addDisturbance(span);
    this.log.info({ kind, place: component, forMs: Math.round(durationMs) }, 'fault_begins');
    const delayedJobs =
      kind === 'freezeEntry'
        ? delayedClients.send(Number(component.replace('entry-', '')), durationMs)
        : undefined;
    await sleep(durationMs);
    await undo?.();
    span.to = performance.now();
    this.log.info({ kind, place: component }, 'fault_ends');
    await delayedJobs;
  }

  /** Kills all processes at once and checks that jobs are completed again in time after a restart. */
  private async injectPowerLoss(
    { durationMs }: PowerLoss,
    { deployment, injector, clients }: SoakContext,
  ): Promise<void> {
    await Promise.all(this.activeFaults);
    const span = { component: 'store', from: performance.now(), to: Infinity, isPlanned: false };
    this.checker.addDisturbance(span);
    const { entries, agents } = deployment;
    const daemons = daemonsOf(deployment);
    injector.markEnded(daemons);
    daemons.forEach((daemon) => daemon.process.kill('SIGKILL'));
    this.log.info({ forMs: Math.round(durationMs) }, 'power_lost');
    await sleep(durationMs);
    await Promise.all([
      ...entries.map((_, index) => deployment.startEntry(index)),
      ...agents.map((_, index) => deployment.startAgent(index)),
    ]);
    const restartedAt = performance.now();
    let isServed = false;
    while (!isServed && performance.now() < restartedAt + RECOVERY_LIMIT_MS) {
      isServed = await clients.probe();
    }
    const ms = Math.round(performance.now() - restartedAt);
    this.log.info({ isServed, ms }, 'power_back');
    if (!isServed) this.checker.report(`recovery: no job completed ${ms} ms after the restart`);
    span.to = performance.now();
  }

  /** Checks that jobs are completed after the last fault, and then that no worker has a run left. */
  private async checkSettled({ deployment, clients }: SoakContext): Promise<void> {
    await sleep(SETTLE_MS);
    const probes = await Promise.all(Array.from({ length: PROBES }, () => clients.probe()));
    const failed = probes.filter((isServed) => !isServed).length;
    if (failed > 0) this.checker.report(`recovery: ${failed} of ${PROBES} jobs did not complete`);
    await sleep(SETTLE_MS / 2);
    deployment.workers.forEach(({ running }, index) => {
      if (running > 0) this.checker.report(`orphans: ${running} runs are left at worker ${index}`);
    });
  }
}
