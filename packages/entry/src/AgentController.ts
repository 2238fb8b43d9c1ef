import { CALL_TIMEOUT_MS, CallError, AGENT_SUSPICION_MS } from '@marjorammast/protocol';
import type {
  Credit,
  Handlers,
  Link,
  Params,
  Policy,
  Result,
  AgentConfiguration,
  StartParams,
} from '@marjorammast/protocol';
import type { Log, Timeline } from '@marjorammast/telemetry';
import { REFUSAL_PAUSE_MS } from './constants';
import { CreditPool } from './CreditPool';
import { RetiredRecords } from './RetiredRecords';
import { SpeedEstimates } from './SpeedEstimates';

/** One connected agent. */
export type ConnectedAgent = {
  name: string;
  /** Identifier of the agent's process. */
  incarnation: string;
  dataCenter: string;
  link: Link;
  /** Latest received reading of the agent's monotonic clock, in milliseconds. */
  agentClock: number;
  /** Monotonic time at which `agentClock` was received, in milliseconds. */
  agentClockReadAt: number;
  /**
   * Monotonic time at which the agent last connected, granted credits or answered a start or a
   * probe, in milliseconds.
   */
  lastContactAt: number;
  /** Number of starts without an answer. */
  pendingStarts: number;
  /**
   * True after the agent did not answer a probe. It gets no starts until it answers a probe or an
   * earlier start, or grants credits.
   */
  isSuspected: boolean;
  isProbing: boolean;
  /** Number of consecutive tasks that ended without a result. */
  failures: number;
  /**
   * Monotonic time until which the agent gets no starts because of its failures, in milliseconds.
   */
  ejectedUntil: number;
  /** Monotonic time until which the agent gets no starts after it refused one, in milliseconds. */
  pausedUntil: number;
  /** Version of the configuration that the agent has confirmed; -1 if none. */
  version: number;
};

/** Dependencies of the agent controller. */
export type AgentControllerHost = {
  name: string;
  policy: () => Policy;
  /** The part of the environment that agents need. */
  agentConfiguration: () => AgentConfiguration;
  /** Addresses of all entries. */
  entries: () => string[];
  /** Epochs of all shards, by the number of the shard. */
  epochs: () => number[];
  /** Registers the agent process in the store; resolves to false when that fails. */
  register: (agent: string, incarnation: string) => Promise<boolean>;
  /** Called when an agent has connected and can be asked for the outcomes of earlier starts. */
  connected: (agent: ConnectedAgent) => void;
  /** Called when credits have arrived or starts may be sent to an agent again. */
  creditsAvailable: () => void;
  log: Log;
  timeline: Timeline;
};

/** A start without the fields that the agent controller adds. */
export type StartBody = Omit<StartParams, 'echo' | 'heldMs' | 'credit'>;

/** Connected agents with their credits, run time estimates and health. */
export class AgentController {
  readonly creditPool = CreditPool.create();

  readonly speeds: SpeedEstimates;

  readonly retired = RetiredRecords.create();

  private readonly agents = new Map<string, ConnectedAgent>();

  private readonly agentsByLink = new WeakMap<Link, ConnectedAgent>();

  private constructor(private readonly host: AgentControllerHost) {
    this.speeds = SpeedEstimates.create(() => host.policy().learningRate);
  }

  /**
   * @param host - dependencies
   * @returns a controller without agents
   */
  static create(host: AgentControllerHost): AgentController {
    return new AgentController(host);
  }

  /** Lists the connected agents. */
  list(): ConnectedAgent[] {
    return [...this.agents.values()];
  }

  /** Finds a connected agent by its name, and by its process if an incarnation is given. */
  find(name: string, incarnation?: string): ConnectedAgent | undefined {
    const agent = this.agents.get(name);
    return !incarnation || agent?.incarnation === incarnation ? agent : undefined;
  }

  /** Handlers of the calls that agents make. */
  get handlers(): Handlers {
    return {
      hello: async (hello, link) => {
        const registered = await this.host.register(hello.agent, hello.incarnation);
        if (registered && !this.agentsByLink.has(link)) this.connect(link, hello);
        return {
          entry: this.host.name,
          registered,
          epochs: this.host.epochs(),
          entries: this.host.entries(),
          slice: this.host.agentConfiguration(),
        };
      },
      grant: ({ credits, clock }, link) => {
        const agent = this.agentsByLink.get(link);
        if (agent) this.handleGrant(agent, credits, clock);
        return {};
      },
      revoke: ({ slots }, link) => {
        const agent = this.agentsByLink.get(link);
        if (agent) this.creditPool.remove(agent.name, slots);
        return {};
      },
      retire: ({ records }, link) => {
        const agent = this.agentsByLink.get(link);
        if (agent) this.retired.add(agent.name, agent.incarnation, records);
        return {};
      },
      audit: ({ credits }, link) => {
        const agent = this.agentsByLink.get(link);
        return { held: agent ? this.creditPool.heldSlots(agent.name, credits) : [] };
      },
    };
  }

  /** True when starts may be sent to the agent. */
  isUsable(agent: ConnectedAgent): boolean {
    const configuration = this.host.agentConfiguration();
    const now = performance.now();
    return (
      !agent.isSuspected &&
      agent.ejectedUntil <= now &&
      agent.pausedUntil <= now &&
      !configuration.outDataCenters.includes(agent.dataCenter) &&
      !configuration.draining.includes(agent.name)
    );
  }

  /**
   * Sends one start to an agent.
   *
   * @param agent - the agent
   * @param credit - credit of the agent, already removed from the pool
   * @param body - the start
   * @returns the agent's answer
   * @throws CallError when no answer arrives
   */
  async start(agent: ConnectedAgent, credit: Credit, body: StartBody): Promise<Result<'start'>> {
    const { agentClock } = agent;
    const heldMs = performance.now() - agent.agentClockReadAt;
    agent.pendingStarts += 1;
    try {
      const answer = await agent.link.call(
        'start',
        { ...body, echo: agentClock, heldMs, credit },
        0,
      );
      this.recordContact(agent, answer.clock);
      if (answer.credit && agent.link.isOpen) this.creditPool.add(agent.name, [answer.credit]);
      if (answer.type === 'finished') this.recordOutcome(agent, body.kind, answer);
      return answer;
    } finally {
      agent.pendingStarts -= 1;
    }
  }

  /**
   * Sends the configuration to an agent.
   *
   * @param agent - the agent
   * @returns true when the agent confirms that this version or a newer one is in force
   */
  async configure(agent: ConnectedAgent): Promise<boolean> {
    const configuration = this.host.agentConfiguration();
    try {
      const params = { slice: configuration, entries: this.host.entries() };
      const { version } = await agent.link.call('configure', params);
      agent.version = version;
      return version >= configuration.version;
    } catch {
      return false;
    }
  }

  /**
   * Sends an agent that has refused a start no more starts for `REFUSAL_PAUSE_MS`. Without the
   * pause, an agent that refuses at once would always have idle slots and would receive every
   * waiting task.
   *
   * @param agent - the agent
   */
  pause(agent: ConnectedAgent): void {
    agent.pausedUntil = performance.now() + REFUSAL_PAUSE_MS;
    setTimeout(() => this.host.creditsAvailable(), REFUSAL_PAUSE_MS);
  }

  /** Deletes the start records whose retention time has passed. */
  expire(): void {
    this.retired.expire();
  }

  /**
   * Probes every agent whose latest contact is more than `AGENT_SUSPICION_MS` ago, if it has
   * pending starts or is suspected.
   */
  probeSilentAgents(): void {
    const now = performance.now();
    this.agents.forEach((agent) => {
      const isSilent = now - agent.lastContactAt > AGENT_SUSPICION_MS;
      if ((agent.pendingStarts > 0 || agent.isSuspected) && isSilent && !agent.isProbing) {
        void this.probe(agent);
      }
    });
  }

  private connect(link: Link, hello: Params<'hello'>): void {
    const { agent: name, incarnation, dataCenter } = hello;
    const now = performance.now();
    this.agents.get(name)?.link.close();
    const agent: ConnectedAgent = {
      name,
      incarnation,
      dataCenter,
      link,
      agentClock: hello.clock,
      agentClockReadAt: now,
      lastContactAt: now,
      pendingStarts: 0,
      isSuspected: false,
      isProbing: false,
      failures: 0,
      ejectedUntil: 0,
      pausedUntil: 0,
      version: -1,
    };
    this.agents.set(name, agent);
    this.agentsByLink.set(link, agent);
    link.onClose(() => this.disconnect(agent));
    this.host.log.info({ agent: name, incarnation, dataCenter }, 'agent_connected');
    this.host.timeline.record('agentConnected', { agent: name, incarnation });
    this.host.connected(agent);
  }

  private disconnect(agent: ConnectedAgent): void {
    if (this.agents.get(agent.name) !== agent) return;
    this.agents.delete(agent.name);
    this.creditPool.remove(agent.name);
    this.host.log.info({ agent: agent.name }, 'agent_disconnected');
    this.host.timeline.record('agentDisconnected', { agent: agent.name });
  }

  private handleGrant(agent: ConnectedAgent, credits: readonly Credit[], clock: number): void {
    this.recordContact(agent, clock);
    this.creditPool.add(agent.name, credits);
    this.host.creditsAvailable();
  }

  private recordContact(agent: ConnectedAgent, clock?: number): void {
    const now = performance.now();
    agent.lastContactAt = now;
    agent.isSuspected = false;
    if (clock === undefined) return;
    agent.agentClock = clock;
    agent.agentClockReadAt = now;
  }

  private async probe(agent: ConnectedAgent): Promise<void> {
    agent.isProbing = true;
    try {
      await agent.link.call('status', {}, CALL_TIMEOUT_MS);
      this.recordContact(agent);
      this.host.creditsAvailable();
    } catch (error) {
      const isLost = error instanceof CallError && error.fault === 'lost';
      if (isLost && !agent.isSuspected) {
        agent.isSuspected = true;
        this.host.log.warn({ agent: agent.name }, 'agent_suspected');
        this.host.timeline.record('agentSuspected', { agent: agent.name });
      }
    } finally {
      agent.isProbing = false;
    }
  }

  private recordOutcome(
    agent: ConnectedAgent,
    kind: string,
    answer: Extract<Result<'start'>, { type: 'finished' }>,
  ): void {
    if (answer.outcome.type === 'done') {
      this.speeds.observe(agent.name, kind, answer.runMs);
      agent.failures = 0;
      return;
    }
    const failures = agent.failures + 1;
    agent.failures = failures;
    if (failures >= this.host.policy().ejectAfterFailures) this.eject(agent);
  }

  private eject(agent: ConnectedAgent): void {
    const { ejectionMs, maxEjectedShare } = this.host.policy();
    const now = performance.now();
    const ejected = this.list().filter((other) => other.ejectedUntil > now).length;
    if (ejected + 1 > this.agents.size * maxEjectedShare) return;
    // After the ejection ends, a single failure ejects the agent again.
    const failures = this.host.policy().ejectAfterFailures - 1;
    Object.assign(agent, { failures, ejectedUntil: now + ejectionMs });
    this.host.log.warn({ agent: agent.name, ejectionMs }, 'agent_ejected');
    this.host.timeline.record('agentEjected', { agent: agent.name, ejectionMs });
  }
}
