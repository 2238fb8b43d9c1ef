import { sleep } from '@marjorammast/protocol';
import type { StoreFault, WorkerFault } from '@marjorammast/standins';
import type { Daemon, DispatchDeployment } from '../local/DispatchDeployment';
import type { Fault, FaultKind } from './faults';
import type { LinkProxies } from './LinkProxies';
import type { LoopbackProxy, ProxyFault } from './LoopbackProxy';

/**
 * A fault that has started. `component` is the process or store that it disturbs, empty for none;
 * `isPlanned` marks a planned operation, which is not a fault; `undo` ends the fault or operation.
 */
export type ActiveFault = { component: string; isPlanned?: boolean; undo?: () => unknown };

/** Deployment into which faults are injected, its links, and the check of forbidden starts. */
export type FaultInjectorOptions = {
  deployment: DispatchDeployment;
  links: LinkProxies;
  /**
   * Reports starts at some workers from a time on the monotonic clock as violations; the returned
   * function lifts the ban.
   */
  forbidStarts: (rule: string, appliesTo: (worker: string) => boolean, from: number) => () => void;
};

/**
 * Longest time from the evacuation of a data centre or from a worker's notice that it leaves until no
 * more tasks start there, in milliseconds, as in the operators' documentation.
 */
const REACTION_LIMITS = { evacuateMs: 5_000, leaveMs: 2_000 };

/** Time from SIGTERM to SIGKILL, in milliseconds. */
const KILL_DELAY_MS = 6_000;

/** Highest reading with which the clock of a restarted worker begins, in milliseconds. */
const MAX_CLOCK_START_MS = 1_000_000;

/** Injects single faults into a deployment and undoes them. */
export class FaultInjector {
  /** Daemons that the test has stopped or killed. */
  private readonly endedOnPurpose = new Set<Daemon>();

  /** Data centres that are evacuated at present. */
  private readonly evacuatedDataCenters = new Set<string>();

  /** Version of the operators' configuration that was written last. */
  private version = 1;

  private constructor(private readonly options: FaultInjectorOptions) {}

  /**
   * @param options - deployment, links and the check of forbidden starts
   * @returns an injector without active faults
   */
  static create(options: FaultInjectorOptions): FaultInjector {
    return new FaultInjector(options);
  }

  /** Records that the test stops or kills daemons, so that their exits count as expected. */
  markEnded(daemons: readonly Daemon[]): void {
    daemons.forEach((daemon) => this.endedOnPurpose.add(daemon));
  }

  /**
   * @param daemon - a daemon
   * @returns true when the test has stopped or killed it
   */
  isEndedOnPurpose(daemon: Daemon): boolean {
    return this.endedOnPurpose.has(daemon);
  }

  /**
   * Starts a fault.
   *
   * @param fault - the fault
   * @returns the active fault; `undefined` when it cannot be injected at present, such as when its
   * process is already stopped
   */
  start(fault: Fault): ActiveFault | undefined {
    const starters: Record<FaultKind, () => ActiveFault | undefined> = {
      stopEntry: () => this.stop('entry', fault),
      stopAgent: () => this.stop('agent', fault),
      killEntry: () => this.kill('entry', fault),
      killAgent: () => this.kill('agent', fault),
      freezeEntry: () => this.freeze('entry', fault),
      freezeAgent: () => this.freeze('agent', fault),
      hangUp: () => this.sendHangUp(fault),
      slowLink: () => this.disturbLink('slow', fault),
      silentLink: () => this.disturbLink('silent', fault),
      muteLink: () => this.disturbLink('mute', fault),
      stuckLink: () => this.breakLink((proxy) => proxy.stallConnections(), fault),
      resetLink: () => this.breakLink((proxy) => proxy.reset(), fault),
      storeRefuses: () => this.disturbStore('refuse'),
      storeSilent: () => this.disturbStore('silent'),
      storeSlow: () => this.disturbStore('slow'),
      storeAnswerLost: () => this.disturbStore('answerLost'),
      storeForgets: () => this.compactStore(),
      workerSilent: () => this.disturbWorker('silent', fault),
      workerAnswerLost: () => this.disturbWorker('answerLost', fault),
      workerLate: () => this.disturbWorker('late', fault),
      workerStuck: () => this.disturbWorker('stuck', fault),
      workerReborn: () => this.restartWorker(fault),
      workerLeaves: () => this.drainWorker(fault),
      evacuate: () => this.evacuate(fault),
      configure: () => this.configure(),
    };
    return starters[fault.kind]();
  }

  /** Chooses a daemon; `undefined` when another fault has stopped or killed it. */
  private pickDaemon(role: 'entry' | 'agent', { pick }: Fault): [Daemon, number] | undefined {
    const daemons =
      role === 'entry' ? this.options.deployment.entries : this.options.deployment.agents;
    const index = Math.floor(pick * daemons.length);
    const daemon = daemons[index];
    return daemon && !this.endedOnPurpose.has(daemon) ? [daemon, index] : undefined;
  }

  private restart(role: 'entry' | 'agent', index: number): Promise<void> {
    return role === 'entry'
      ? this.options.deployment.startEntry(index)
      : this.options.deployment.startAgent(index);
  }

  private stop(role: 'entry' | 'agent', fault: Fault): ActiveFault | undefined {
    const [daemon, index] = this.pickDaemon(role, fault) ?? [];
    if (!daemon || index === undefined) return undefined;
    this.endedOnPurpose.add(daemon);
    daemon.process.kill('SIGTERM');
    const timer = setTimeout(() => daemon.process.kill('SIGKILL'), KILL_DELAY_MS);
    const undo = async () => {
      await this.options.deployment.waitForExit(daemon);
      clearTimeout(timer);
      await this.restart(role, index);
    };
    return { component: daemon.name, isPlanned: true, undo };
  }

  private kill(role: 'entry' | 'agent', fault: Fault): ActiveFault | undefined {
    const [daemon, index] = this.pickDaemon(role, fault) ?? [];
    if (!daemon || index === undefined) return undefined;
    this.endedOnPurpose.add(daemon);
    daemon.process.kill('SIGKILL');
    return { component: daemon.name, undo: () => this.restart(role, index) };
  }

  private freeze(role: 'entry' | 'agent', fault: Fault): ActiveFault | undefined {
    const [daemon] = this.pickDaemon(role, fault) ?? [];
    if (!daemon) return undefined;
    daemon.process.kill('SIGSTOP');
    return { component: daemon.name, undo: () => daemon.process.kill('SIGCONT') };
  }

  private sendHangUp({ pick }: Fault): ActiveFault | undefined {
    const daemons = [...this.options.deployment.entries, ...this.options.deployment.agents];
    const daemon = daemons[Math.floor(pick * daemons.length)];
    if (!daemon || this.endedOnPurpose.has(daemon)) return undefined;
    daemon.process.kill('SIGHUP');
    return { component: daemon.name, isPlanned: true };
  }

  private disturbLink(linkFault: ProxyFault, fault: Fault): ActiveFault | undefined {
    const { proxy, component } = this.options.links.pick(fault.pick) ?? {};
    if (!proxy || !component) return undefined;
    proxy.fault = linkFault;
    const undo = () => {
      proxy.fault = 'none';
    };
    return { component, undo };
  }

  private breakLink(action: (proxy: LoopbackProxy) => void, fault: Fault): ActiveFault | undefined {
    const { proxy, component } = this.options.links.pick(fault.pick) ?? {};
    if (!proxy || !component) return undefined;
    action(proxy);
    return { component };
  }

  private disturbStore(storeFault: StoreFault): ActiveFault {
    const { store } = this.options.deployment;
    store.fault = storeFault;
    const undo = () => {
      store.fault = 'none';
    };
    return { component: 'store', undo };
  }

  private compactStore(): ActiveFault {
    this.options.deployment.store.compact();
    return { component: 'store' };
  }

  private disturbWorker(workerFault: WorkerFault, { pick }: Fault): ActiveFault | undefined {
    const index = Math.floor(pick * this.options.deployment.workers.length);
    const worker = this.options.deployment.workers[index];
    if (!worker) return undefined;
    worker.fault = workerFault;
    const undo = () => {
      worker.fault = 'none';
    };
    return { component: `agent-${index}`, undo };
  }

  private restartWorker({ pick }: Fault): ActiveFault {
    const position = pick * this.options.deployment.workers.length;
    const index = Math.floor(position);
    const worker = this.options.deployment.workers[index];
    if (worker) {
      worker.nextClockStart = Math.floor((position - index) * MAX_CLOCK_START_MS);
      worker.restart();
    }
    return { component: `agent-${index}` };
  }

  /** Makes a worker report that it is draining, and restarts it when the operation ends. */
  private drainWorker({ pick }: Fault): ActiveFault | undefined {
    const index = Math.floor(pick * this.options.deployment.workers.length);
    const worker = this.options.deployment.workers[index];
    if (!worker || worker.state === 'draining') return undefined;
    worker.state = 'draining';
    const forbiddenFrom = performance.now() + REACTION_LIMITS.leaveMs;
    const allowStarts = this.options.forbidStarts(
      'leaving worker',
      (id) => id === `i-${index}`,
      forbiddenFrom,
    );
    const undo = async () => {
      await sleep(REACTION_LIMITS.leaveMs);
      allowStarts();
      worker.restart();
    };
    return { component: '', isPlanned: true, undo };
  }

  private evacuate({ pick, durationMs }: Fault): ActiveFault | undefined {
    const dataCenter = pick < 0.5 ? 'north' : 'east';
    const isInDataCenter = (worker: string) =>
      this.options.deployment.dataCenterOf(Number(worker.split('-')[1])) === dataCenter;
    if (this.evacuatedDataCenters.has(dataCenter)) return undefined;
    this.evacuatedDataCenters.add(dataCenter);
    const key = `op/evacuate/${dataCenter}`;
    this.options.deployment.store.put(key, '{}');
    const forbiddenFrom = performance.now() + REACTION_LIMITS.evacuateMs;
    const allowStarts = this.options.forbidStarts(
      'evacuated data centre',
      isInDataCenter,
      forbiddenFrom,
    );
    const undo = async () => {
      await sleep(REACTION_LIMITS.evacuateMs + durationMs);
      allowStarts();
      this.evacuatedDataCenters.delete(dataCenter);
      this.options.deployment.store.put(key, undefined);
    };
    return { component: '', isPlanned: true, undo };
  }

  private configure(): ActiveFault {
    this.version += 1;
    this.options.deployment.configure(this.version);
    return { component: '', isPlanned: true };
  }
}
