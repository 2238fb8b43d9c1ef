import { sleep } from '@marjorammast/protocol';
import type { StoreMood, WorkerMood } from '@marjorammast/standins';
import type { Daemon, DispatchDeployment } from '../local/DispatchDeployment';
import type { Fault, FaultKind } from './faults';
import type { LinkProxies } from './LinkProxies';
import type { LoopbackProxy, ProxyMood } from './LoopbackProxy';

/** A fault at work: the process or store that it disturbs, and how it ends. */
export type Effect = { place: string; isPlanned?: boolean; undo?: () => unknown };

/** What faults are made with. */
export type FaultEffectsParts = {
  deployment: DispatchDeployment;
  links: LinkProxies;
  /** Demands that nothing starts at some workers from a moment on; the result ends the demand. */
  close: (rule: string, isAt: (worker: string) => boolean, from: number) => () => void;
};

/** Bounds from the operators' sheets, in milliseconds. */
const BOUNDS = { evacuateMs: 5_000, leaveMs: 2_000 };

/** Time from SIGTERM to SIGKILL, in milliseconds. */
const GRACE_MS = 6_000;

/** Makes single faults and takes them back. */
export class FaultEffects {
  /** Daemons that were ended on purpose. */
  private readonly ended = new Set<Daemon>();

  /** Data centres that are out. */
  private readonly outZones = new Set<string>();

  private version = 1;

  private constructor(private readonly parts: FaultEffectsParts) {}

  /**
   * @param parts - what faults are made with
   * @returns effects of which none is at work
   */
  static create(parts: FaultEffectsParts): FaultEffects {
    return new FaultEffects(parts);
  }

  /** Notes that daemons are ended on purpose. */
  noteEnds(daemons: readonly Daemon[]): void {
    daemons.forEach((daemon) => this.ended.add(daemon));
  }

  /**
   * @param daemon - a daemon
   * @returns true when it was ended on purpose
   */
  hasEnded(daemon: Daemon): boolean {
    return this.ended.has(daemon);
  }

  /**
   * Begins a fault.
   *
   * @param fault - the fault
   * @returns where it is and how it ends; `undefined` when it does not fit at present
   */
  begin(fault: Fault): Effect | undefined {
    const effects: Record<FaultKind, () => Effect | undefined> = {
      stopEntry: () => this.stop('entry', fault),
      stopAgent: () => this.stop('agent', fault),
      killEntry: () => this.kill('entry', fault),
      killAgent: () => this.kill('agent', fault),
      freezeEntry: () => this.freeze('entry', fault),
      freezeAgent: () => this.freeze('agent', fault),
      hangUp: () => this.hangUp(fault),
      slowLink: () => this.disturbLink('slow', fault),
      silentLink: () => this.disturbLink('silent', fault),
      muteLink: () => this.disturbLink('mute', fault),
      stuckLink: () => this.breakLink((proxy) => proxy.stick(), fault),
      resetLink: () => this.breakLink((proxy) => proxy.reset(), fault),
      storeRefuses: () => this.upsetStore('refuse'),
      storeSilent: () => this.upsetStore('silent'),
      storeSlow: () => this.upsetStore('slow'),
      storeAnswerLost: () => this.upsetStore('answerLost'),
      storeForgets: () => this.compactStore(),
      workerSilent: () => this.upsetWorker('silent', fault),
      workerAnswerLost: () => this.upsetWorker('answerLost', fault),
      workerLate: () => this.upsetWorker('late', fault),
      workerStuck: () => this.upsetWorker('stuck', fault),
      workerReborn: () => this.restartWorker(fault),
      workerLeaves: () => this.retireWorker(fault),
      evacuate: () => this.evacuate(fault),
      configure: () => this.configure(),
    };
    return effects[fault.kind]();
  }

  /** A daemon that runs and that no other fault has ended. */
  private pickDaemon(role: 'entry' | 'agent', { pick }: Fault): [Daemon, number] | undefined {
    const daemons = role === 'entry' ? this.parts.deployment.entries : this.parts.deployment.agents;
    const index = Math.floor(pick * daemons.length);
    const daemon = daemons[index];
    return daemon && !this.ended.has(daemon) ? [daemon, index] : undefined;
  }

  private restart(role: 'entry' | 'agent', index: number): Promise<void> {
    return role === 'entry'
      ? this.parts.deployment.startEntry(index)
      : this.parts.deployment.startAgent(index);
  }

  private stop(role: 'entry' | 'agent', fault: Fault): Effect | undefined {
    const [daemon, index] = this.pickDaemon(role, fault) ?? [];
    if (!daemon || index === undefined) return undefined;
    this.ended.add(daemon);
    daemon.process.kill('SIGTERM');
    const timer = setTimeout(() => daemon.process.kill('SIGKILL'), GRACE_MS);
    const undo = async () => {
      await this.parts.deployment.untilExited(daemon);
      clearTimeout(timer);
      await this.restart(role, index);
    };
    return { place: daemon.name, isPlanned: true, undo };
  }

  private kill(role: 'entry' | 'agent', fault: Fault): Effect | undefined {
    const [daemon, index] = this.pickDaemon(role, fault) ?? [];
    if (!daemon || index === undefined) return undefined;
    this.ended.add(daemon);
    daemon.process.kill('SIGKILL');
    return { place: daemon.name, undo: () => this.restart(role, index) };
  }

  private freeze(role: 'entry' | 'agent', fault: Fault): Effect | undefined {
    const [daemon] = this.pickDaemon(role, fault) ?? [];
    if (!daemon) return undefined;
    daemon.process.kill('SIGSTOP');
    return { place: daemon.name, undo: () => daemon.process.kill('SIGCONT') };
  }

  private hangUp({ pick }: Fault): Effect | undefined {
    const daemons = [...this.parts.deployment.entries, ...this.parts.deployment.agents];
    const daemon = daemons[Math.floor(pick * daemons.length)];
    if (!daemon || this.ended.has(daemon)) return undefined;
    daemon.process.kill('SIGHUP');
    return { place: daemon.name, isPlanned: true };
  }

  private disturbLink(mood: ProxyMood, fault: Fault): Effect | undefined {
    const { proxy, place } = this.parts.links.pick(fault.pick) ?? {};
    if (!proxy || !place) return undefined;
    proxy.mood = mood;
    const undo = () => {
      proxy.mood = 'well';
    };
    return { place, undo };
  }

  private breakLink(act: (proxy: LoopbackProxy) => void, fault: Fault): Effect | undefined {
    const { proxy, place } = this.parts.links.pick(fault.pick) ?? {};
    if (!proxy || !place) return undefined;
    act(proxy);
    return { place };
  }

  private upsetStore(mood: StoreMood): Effect {
    const { store } = this.parts.deployment;
    store.mood = mood;
    const undo = () => {
      store.mood = 'well';
    };
    return { place: 'store', undo };
  }

  private compactStore(): Effect {
    this.parts.deployment.store.compact();
    return { place: 'store' };
  }

  private upsetWorker(mood: WorkerMood, { pick }: Fault): Effect | undefined {
    const index = Math.floor(pick * this.parts.deployment.workers.length);
    const worker = this.parts.deployment.workers[index];
    if (!worker) return undefined;
    worker.mood = mood;
    const undo = () => {
      worker.mood = 'well';
    };
    return { place: `agent-${index}`, undo };
  }

  private restartWorker({ pick }: Fault): Effect {
    const index = Math.floor(pick * this.parts.deployment.workers.length);
    this.parts.deployment.workers[index]?.beginLife();
    return { place: `agent-${index}` };
  }

  /** The worker says that it leaves, and comes back as a new life when the fault ends. */
  private retireWorker({ pick }: Fault): Effect | undefined {
    const index = Math.floor(pick * this.parts.deployment.workers.length);
    const worker = this.parts.deployment.workers[index];
    if (!worker || worker.state === 'draining') return undefined;
    worker.state = 'draining';
    const since = performance.now() + BOUNDS.leaveMs;
    const open = this.parts.close('leaving worker', (id) => id === `i-${index}`, since);
    const undo = async () => {
      await sleep(BOUNDS.leaveMs);
      open();
      worker.beginLife();
    };
    return { place: '', isPlanned: true, undo };
  }

  private evacuate({ pick, forMs }: Fault): Effect | undefined {
    const zone = pick < 0.5 ? 'north' : 'east';
    const isThere = (worker: string) =>
      this.parts.deployment.dataCenterOf(Number(worker.split('-')[1])) === zone;
    if (this.outZones.has(zone)) return undefined;
    this.outZones.add(zone);
    const key = `op/evacuate/${zone}`;
    this.parts.deployment.store.put(key, '{}');
    const since = performance.now() + BOUNDS.evacuateMs;
    const open = this.parts.close('evacuated data centre', isThere, since);
    const undo = async () => {
      await sleep(BOUNDS.evacuateMs + forMs);
      open();
      this.outZones.delete(zone);
      this.parts.deployment.store.put(key, undefined);
    };
    return { place: '', isPlanned: true, undo };
  }

  private configure(): Effect {
    this.version += 1;
    this.parts.deployment.configure(this.version);
    return { place: '', isPlanned: true };
  }
}
