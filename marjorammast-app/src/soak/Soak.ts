import { sleep } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { createRandom } from '../bench/workload';
import { DispatchDeployment } from '../local/DispatchDeployment';
import type { Daemon } from '../local/DispatchDeployment';
import { drawFault } from './faults';
import type { Fault, PowerLoss } from './faults';
import { FaultEffects } from './FaultEffects';
import { LinkProxies } from './LinkProxies';
import { SoakChecker } from './SoakChecker';
import { SoakClients } from './SoakClients';

/** What is to be soaked, and for how long. */
export type SoakPlan = {
  seed: number;
  /** Time in which faults are made, in milliseconds. */
  durationMs: number;
  entries: number;
  workers: number;
};

/** What a soak has seen. */
export type SoakReport = {
  violations: readonly string[];
  jobs: number;
  starts: number;
  faults: number;
  /** Calls by how they ended. */
  outcomes: Readonly<Record<string, number>>;
  logs: string;
};

/** What a running soak works with. */
type Scene = { deployment: DispatchDeployment; effects: FaultEffects; clients: SoakClients };

/** Time in which service is back after a loss of power, from the operators' sheets, in milliseconds. */
const RECOVERY_MS = 12_000;

/** Time after the last fault until all must be well, in milliseconds. */
const SETTLE_MS = 6_000;

const POLL_MS = 50;

/** Rate of the slowest clock that a worker may have. */
const SLOW_CLOCK = 0.98;

const PROBES = 10;

const FAILED_ATTEMPTS = 2;

const daemonsOf = ({ entries, agents }: DispatchDeployment): Daemon[] => [...entries, ...agents];

/** Real programs under faults from outside, with clients and a checker. */
export class Soak {
  private readonly links = LinkProxies.create();

  private readonly seenEvents: number[] = [];

  private readonly pending = new Set<Promise<unknown>>();

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
      attempts: FAILED_ATTEMPTS,
    });
  }

  /**
   * @param plan - what is to be soaked
   * @param log - tells of each fault
   * @returns a soak that has not begun
   */
  static create(plan: SoakPlan, log: Log): Soak {
    return new Soak(plan, log);
  }

  /**
   * Runs the soak.
   *
   * @returns what was seen
   */
  async run(): Promise<SoakReport> {
    const { entries, workers } = this.plan;
    const deployment = await DispatchDeployment.create(entries, workers, (...path) =>
      this.links.detour(...path),
    );
    const effects = FaultEffects.create({
      deployment,
      links: this.links,
      close: (...demand) => this.checker.close(...demand),
    });
    deployment.workers
      .filter((_, index) => index % 2 === 1)
      .forEach((worker) => worker.beginLife(SLOW_CLOCK));
    try {
      return await this.play(deployment, effects);
    } finally {
      effects.noteEnds(daemonsOf(deployment));
      await deployment.stop();
      this.links.close();
    }
  }

  private async play(deployment: DispatchDeployment, effects: FaultEffects): Promise<SoakReport> {
    const { entries, durationMs, seed } = this.plan;
    const collect = () => this.collect(deployment, effects);
    const clients = SoakClients.create({
      deployment,
      entries,
      random: createRandom(seed + 1),
      finished: (job) => {
        collect();
        this.checker.takeJob(job);
      },
    });
    const collector = setInterval(collect, POLL_MS);
    const end = performance.now() + durationMs;
    const scene = { deployment, effects, clients };
    await Promise.all([clients.run(end), this.makeFaults(end, scene)]);
    await this.checkRest(scene);
    clearInterval(collector);
    collect();
    return {
      violations: this.checker.violations,
      jobs: clients.jobs,
      starts: this.checker.starts,
      faults: this.faultCount,
      outcomes: Object.fromEntries(clients.outcomes),
      logs: deployment.logs,
    };
  }

  private collect(deployment: DispatchDeployment, effects: FaultEffects): void {
    const fresh = deployment.workers.flatMap(({ events }, index) => {
      const from = this.seenEvents[index] ?? 0;
      this.seenEvents[index] = events.length;
      return events.slice(from);
    });
    this.checker.takeEvents(fresh);
    daemonsOf(deployment)
      .filter((daemon) => daemon.process.exitCode !== null && !effects.hasEnded(daemon))
      .forEach((daemon) => {
        effects.noteEnds([daemon]);
        this.checker.report(`own end: ${daemon.name} exited with ${daemon.process.exitCode}`);
      });
  }

  private async makeFaults(end: number, scene: Scene): Promise<void> {
    while (performance.now() < end) {
      const fault = drawFault(this.random);
      await sleep(fault.pauseMs);
      this.faultCount += 1;
      const made =
        fault.kind === 'powerLoss' ? this.losePower(fault, scene) : this.make(fault, scene);
      this.pending.add(made);
      void made.finally(() => this.pending.delete(made));
      // Nothing is judged beside a loss of power.
      if (fault.kind === 'powerLoss') await made;
    }
    await Promise.all(this.pending);
  }

  private async make(fault: Fault, { effects }: Scene): Promise<void> {
    const effect = effects.begin(fault);
    if (!effect) return;
    const { kind, forMs } = fault;
    const { place, isPlanned = false, undo } = effect;
    const span = { place, from: performance.now(), to: Infinity, isPlanned };
    this.checker.disturb(span);
    this.log.info({ kind, place, forMs: Math.round(forMs) }, 'fault_begins');
    await sleep(forMs);
    await undo?.();
    span.to = performance.now();
    this.log.info({ kind, place }, 'fault_ends');
  }

  /** All processes are killed at once; service must be back in time. */
  private async losePower(
    { forMs }: PowerLoss,
    { deployment, effects, clients }: Scene,
  ): Promise<void> {
    await Promise.all(this.pending);
    const span = { place: 'store', from: performance.now(), to: Infinity, isPlanned: false };
    this.checker.disturb(span);
    const { entries, agents } = deployment;
    const daemons = daemonsOf(deployment);
    effects.noteEnds(daemons);
    daemons.forEach((daemon) => daemon.process.kill('SIGKILL'));
    this.log.info({ forMs: Math.round(forMs) }, 'power_lost');
    await sleep(forMs);
    await Promise.all([
      ...entries.map((_, index) => deployment.startEntry(index)),
      ...agents.map((_, index) => deployment.startAgent(index)),
    ]);
    const back = performance.now();
    let isServed = false;
    while (!isServed && performance.now() < back + RECOVERY_MS) {
      isServed = await clients.probe();
    }
    const ms = Math.round(performance.now() - back);
    this.log.info({ isServed, ms }, 'power_back');
    if (!isServed) this.checker.report(`recovery: nothing served ${ms} ms after power came back`);
    span.to = performance.now();
  }

  /** After the last fault everything is served, and nothing runs that nobody wants. */
  private async checkRest({ deployment, clients }: Scene): Promise<void> {
    await sleep(SETTLE_MS);
    const probes = await Promise.all(Array.from({ length: PROBES }, () => clients.probe()));
    const failed = probes.filter((isServed) => !isServed).length;
    if (failed > 0) this.checker.report(`rest: ${failed} of ${PROBES} jobs were not served`);
    await sleep(SETTLE_MS / 2);
    deployment.workers.forEach(({ running }, index) => {
      if (running > 0) this.checker.report(`rest: ${running} runs are left at worker ${index}`);
    });
  }
}
