import { sleep } from '@marjorammast/protocol';
import type { StoreMood, WorkerMood } from '@marjorammast/standins';
import type { Log } from '@marjorammast/telemetry';
import { createRandom } from '../bench/workload';
import { DispatchDeployment } from '../local/DispatchDeployment';
import type { Daemon } from '../local/DispatchDeployment';
import { localPorts } from '../local/PortBlock';
import { parseAddress } from '../settings';
import { drawFault } from './faults';
import type { Fault, FaultKind } from './faults';
import { LoopbackProxy } from './LoopbackProxy';
import type { ProxyMood } from './LoopbackProxy';
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

/** A fault at work: where, and how it ends. */
type Effect = { place: string; isPlanned?: boolean; undo?: () => unknown };

/** Bounds of the promises, in milliseconds; those of the operators' sheets. */
const BOUNDS = { evacuateMs: 5_000, leaveMs: 2_000, recoveryMs: 12_000 };

/** Time from SIGTERM to SIGKILL, in milliseconds. */
const GRACE_MS = 6_000;

/** Time after the last fault until all must be well, in milliseconds. */
const SETTLE_MS = 6_000;

const POLL_MS = 50;

/** Rate of the slowest clock that a worker may have. */
const SLOW_CLOCK = 0.98;

const PROBES = 10;

const FAILED_ATTEMPTS = 2;

const names = (kind: string, count: number): string[] =>
  Array.from({ length: count }, (_, index) => `${kind}-${index}`);

/** Real programs under faults from outside, with clients and a checker. */
export class Soak {
  private readonly proxies = new Map<string, LoopbackProxy>();

  private readonly seenEvents: number[] = [];

  /** Daemons that were ended on purpose. */
  private readonly ended = new Set<Daemon>();

  private readonly pending = new Set<Promise<unknown>>();

  /** Data centres that are out. */
  private readonly outZones = new Set<string>();

  private faultCount = 0;

  private version = 1;

  private deployment: DispatchDeployment | undefined;

  private readonly random: () => number;

  private readonly checker: SoakChecker;

  private constructor(
    private readonly plan: SoakPlan,
    private readonly log: Log,
  ) {
    this.random = createRandom(plan.seed);
    this.checker = SoakChecker.create({
      entries: names('entry', plan.entries),
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
    const deployment = await DispatchDeployment.create(entries, workers, (from, place, address) =>
      this.detour(from, place, address),
    );
    this.deployment = deployment;
    deployment.workers
      .filter((_, index) => index % 2 === 1)
      .forEach((worker) => worker.beginLife(SLOW_CLOCK));
    try {
      return await this.play(deployment);
    } finally {
      [...deployment.entries, ...deployment.agents].forEach((daemon) => this.ended.add(daemon));
      await deployment.stop();
      this.proxies.forEach((proxy) => proxy.close());
    }
  }

  private async play(deployment: DispatchDeployment): Promise<SoakReport> {
    const { entries, durationMs, seed } = this.plan;
    const clients = SoakClients.create({
      deployment,
      entries,
      random: createRandom(seed + 1),
      finished: (job) => {
        this.collect();
        this.checker.takeJob(job);
      },
    });
    const collector = setInterval(() => this.collect(), POLL_MS);
    const end = performance.now() + durationMs;
    await Promise.all([clients.run(end), this.makeFaults(end, clients)]);
    await this.checkRest(clients);
    clearInterval(collector);
    this.collect();
    return {
      violations: this.checker.violations,
      jobs: clients.jobs,
      starts: this.checker.starts,
      faults: this.faultCount,
      outcomes: Object.fromEntries(clients.outcomes),
      logs: deployment.logs,
    };
  }

  private get system(): DispatchDeployment {
    if (!this.deployment) throw new Error('the soak has not begun');
    return this.deployment;
  }

  /** Puts one proxy before each place for each process that reaches it. */
  private async detour(from: string, place: string, address: string): Promise<string> {
    const name = `${from}>${place}`;
    const port = await localPorts.next();
    const targetPort = parseAddress(address).port;
    this.proxies.get(name)?.close();
    this.proxies.set(name, await LoopbackProxy.create(port, targetPort));
    return `127.0.0.1:${port}`;
  }

  private collect(): void {
    const fresh = this.system.workers.flatMap(({ events }, index) => {
      const from = this.seenEvents[index] ?? 0;
      this.seenEvents[index] = events.length;
      return events.slice(from);
    });
    this.checker.takeEvents(fresh);
    [...this.system.entries, ...this.system.agents]
      .filter((daemon) => daemon.process.exitCode !== null && !this.ended.has(daemon))
      .forEach((daemon) => {
        this.ended.add(daemon);
        this.checker.report(`own end: ${daemon.name} exited with ${daemon.process.exitCode}`);
      });
  }

  private async makeFaults(end: number, clients: SoakClients): Promise<void> {
    while (performance.now() < end) {
      const fault = drawFault(this.random);
      await sleep(fault.pauseMs);
      this.faultCount += 1;
      const made = fault.kind === 'powerLoss' ? this.losePower(fault, clients) : this.make(fault);
      this.pending.add(made);
      void made.finally(() => this.pending.delete(made));
      // Nothing is judged beside a loss of power.
      if (fault.kind === 'powerLoss') await made;
    }
    await Promise.all(this.pending);
  }

  private async make(fault: Fault): Promise<void> {
    const effect = this.begin(fault);
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

  private begin(fault: Fault): Effect | undefined {
    const effects: Record<FaultKind, () => Effect | undefined> = {
      stopEntry: () => this.stop('entry', fault),
      stopAgent: () => this.stop('agent', fault),
      killEntry: () => this.kill('entry', fault),
      killAgent: () => this.kill('agent', fault),
      freezeEntry: () => this.freeze('entry', fault),
      freezeAgent: () => this.freeze('agent', fault),
      hangUp: () => this.hangUp(fault),
      slowLink: () => this.bend('slow', fault),
      silentLink: () => this.bend('silent', fault),
      muteLink: () => this.bend('mute', fault),
      stuckLink: () => this.breakLink((proxy) => proxy.stick(), fault),
      resetLink: () => this.breakLink((proxy) => proxy.reset(), fault),
      storeRefuses: () => this.upset('refuse'),
      storeSilent: () => this.upset('silent'),
      storeSlow: () => this.upset('slow'),
      storeAnswerLost: () => this.upset('answerLost'),
      storeForgets: () => this.forget(),
      workerSilent: () => this.annoy('silent', fault),
      workerAnswerLost: () => this.annoy('answerLost', fault),
      workerLate: () => this.annoy('late', fault),
      workerStuck: () => this.annoy('stuck', fault),
      workerReborn: () => this.rebear(fault),
      workerLeaves: () => this.leave(fault),
      evacuate: () => this.evacuate(fault),
      configure: () => this.configure(),
      powerLoss: () => undefined,
    };
    return effects[fault.kind]();
  }

  /** A daemon that runs and that no other fault has ended. */
  private pickDaemon(role: 'entry' | 'agent', { pick }: Fault): [Daemon, number] | undefined {
    const daemons = role === 'entry' ? this.system.entries : this.system.agents;
    const index = Math.floor(pick * daemons.length);
    const daemon = daemons[index];
    return daemon && !this.ended.has(daemon) ? [daemon, index] : undefined;
  }

  private restart(role: 'entry' | 'agent', index: number): Promise<void> {
    return role === 'entry' ? this.system.startEntry(index) : this.system.startAgent(index);
  }

  private stop(role: 'entry' | 'agent', fault: Fault): Effect | undefined {
    const [daemon, index] = this.pickDaemon(role, fault) ?? [];
    if (!daemon || index === undefined) return undefined;
    this.ended.add(daemon);
    daemon.process.kill('SIGTERM');
    const timer = setTimeout(() => daemon.process.kill('SIGKILL'), GRACE_MS);
    const undo = async () => {
      await this.system.untilExited(daemon);
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
    const daemons = [...this.system.entries, ...this.system.agents];
    const daemon = daemons[Math.floor(pick * daemons.length)];
    if (!daemon || this.ended.has(daemon)) return undefined;
    daemon.process.kill('SIGHUP');
    return { place: daemon.name, isPlanned: true };
  }

  /** The name of a link is made of who uses it and what it leads to. */
  private pickLink({ pick }: Fault): { proxy: LoopbackProxy; place: string } | undefined {
    const links = [...this.proxies];
    const [name, proxy] = links[Math.floor(pick * links.length)] ?? [];
    if (!name || !proxy) return undefined;
    const [from = '', to = ''] = name.split('>');
    return { proxy, place: from === 'others' ? to.replace('-rpc', '') : from };
  }

  private bend(mood: ProxyMood, fault: Fault): Effect | undefined {
    const { proxy, place } = this.pickLink(fault) ?? {};
    if (!proxy || !place) return undefined;
    proxy.mood = mood;
    const undo = () => {
      proxy.mood = 'well';
    };
    return { place, undo };
  }

  private breakLink(act: (proxy: LoopbackProxy) => void, fault: Fault): Effect | undefined {
    const { proxy, place } = this.pickLink(fault) ?? {};
    if (!proxy || !place) return undefined;
    act(proxy);
    return { place };
  }

  private upset(mood: StoreMood): Effect {
    const { store } = this.system;
    store.mood = mood;
    const undo = () => {
      store.mood = 'well';
    };
    return { place: 'store', undo };
  }

  private forget(): Effect {
    this.system.store.compact();
    return { place: 'store' };
  }

  private annoy(mood: WorkerMood, { pick }: Fault): Effect | undefined {
    const index = Math.floor(pick * this.plan.workers);
    const worker = this.system.workers[index];
    if (!worker) return undefined;
    worker.mood = mood;
    const undo = () => {
      worker.mood = 'well';
    };
    return { place: `agent-${index}`, undo };
  }

  private rebear({ pick }: Fault): Effect {
    const index = Math.floor(pick * this.plan.workers);
    this.system.workers[index]?.beginLife();
    return { place: `agent-${index}` };
  }

  /** The worker says that it leaves, and comes back as a new life when the fault ends. */
  private leave({ pick }: Fault): Effect | undefined {
    const index = Math.floor(pick * this.plan.workers);
    const worker = this.system.workers[index];
    if (!worker || worker.state === 'draining') return undefined;
    worker.state = 'draining';
    const since = performance.now() + BOUNDS.leaveMs;
    const open = this.checker.close('leaving worker', (id) => id === `i-${index}`, since);
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
      this.system.dataCenterOf(Number(worker.split('-')[1])) === zone;
    if (this.outZones.has(zone)) return undefined;
    this.outZones.add(zone);
    const key = `op/evacuate/${zone}`;
    this.system.store.put(key, '{}');
    const since = performance.now() + BOUNDS.evacuateMs;
    const open = this.checker.close('evacuated data centre', isThere, since);
    const undo = async () => {
      await sleep(BOUNDS.evacuateMs + forMs);
      open();
      this.outZones.delete(zone);
      this.system.store.put(key, undefined);
    };
    return { place: '', isPlanned: true, undo };
  }

  private configure(): Effect {
    this.version += 1;
    this.system.configure(this.version);
    return { place: '', isPlanned: true };
  }

  /** All processes are killed at once; service must be back in time. */
  private async losePower({ forMs }: Fault, clients: SoakClients): Promise<void> {
    await Promise.all(this.pending);
    const span = { place: 'store', from: performance.now(), to: Infinity, isPlanned: false };
    this.checker.disturb(span);
    const { entries, agents } = this.system;
    const daemons = [...entries, ...agents];
    daemons.forEach((daemon) => {
      this.ended.add(daemon);
      daemon.process.kill('SIGKILL');
    });
    this.log.info({ forMs: Math.round(forMs) }, 'power_lost');
    await sleep(forMs);
    await Promise.all([
      ...entries.map((_, index) => this.system.startEntry(index)),
      ...agents.map((_, index) => this.system.startAgent(index)),
    ]);
    const back = performance.now();
    let isServed = false;
    while (!isServed && performance.now() < back + BOUNDS.recoveryMs) {
      isServed = await clients.probe();
    }
    const ms = Math.round(performance.now() - back);
    this.log.info({ isServed, ms }, 'power_back');
    if (!isServed) this.checker.report(`recovery: nothing served ${ms} ms after power came back`);
    span.to = performance.now();
  }

  /** After the last fault everything is served, and nothing runs that nobody wants. */
  private async checkRest(clients: SoakClients): Promise<void> {
    await sleep(SETTLE_MS);
    const probes = await Promise.all(Array.from({ length: PROBES }, () => clients.probe()));
    const failed = probes.filter((isServed) => !isServed).length;
    if (failed > 0) this.checker.report(`rest: ${failed} of ${PROBES} jobs were not served`);
    await sleep(SETTLE_MS / 2);
    this.system.workers.forEach(({ running }, index) => {
      if (running > 0) this.checker.report(`rest: ${running} runs are left at worker ${index}`);
    });
  }
}
