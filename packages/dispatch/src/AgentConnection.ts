import { CallError, scaleResources, subtractResources } from '@marjorammast/protocol';
import type {
  AdmissionRules,
  Link,
  RegisteredProcess,
  Params,
  Resources,
  Result,
  UnsettledTasks,
  WorkerCrash,
  WorkerView,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ClockReading } from './ClockReading';
import { QueueRequests } from './QueueRequests';
import type { QueueReport } from './QueueRequests';
import {
  AGENT_CALL_TIMEOUT_MS,
  ATTACH_TIMEOUT_MS,
  IDLE_RENEW_PERIOD_MS,
  MAX_RECONNECT_BACKOFF_MS,
  RECONNECT_BACKOFF_MS,
  RENEW_PERIOD_MS,
} from './constants';

/** What a connection needs from its entry. */
export type AgentConnectionHost = {
  /** Name of the entry. */
  entry: string;
  dial: (address: string) => Promise<Link>;
  rules: () => AdmissionRules;
  /** True while the entry has outstanding runs at the agent. */
  hasRuns: (agent: string) => boolean;
  /** Called when the agent has sent a view of its worker, and after each attach. */
  onChange: (agent: string, view: WorkerView) => void;
  /** Called when an attached connection is lost; the leases of its runs then expire. */
  onLost: (agent: string, knowledge: StartKnowledge) => void;
  /** Called with each crash that the agent reports, and after each attach with the recent ones. */
  onCrash: (crash: WorkerCrash) => void;
  /** Called after each attach with the tasks of which a start got no answer there. */
  onUnsettled: (agent: string, tasks: UnsettledTasks) => void;
  /** Called after each attach with the rules that the agent has, which may be newer. */
  onRules: (rules: AdmissionRules) => void;
  random: () => number;
  log: Log;
};

/** What an entry knows of the starts at an agent, from the last answer to an assignment or a renewal. */
export type StartKnowledge = {
  /** Tasks whose starts had no answer then. */
  unsettled: UnsettledTasks;
  /** Monotonic time of the call; what was assigned later is not covered. In milliseconds. */
  asOf: number;
};

const NO_KNOWLEDGE: StartKnowledge = { unsettled: [], asOf: -Infinity };

/** An assignment without the clock fields, which the connection adds. */
export type Assignment = Omit<Params<'assign'>, 'echo' | 'heldMs'>;

/** The connection of an entry to one agent. It reconnects after each loss until it is closed. */
export class AgentConnection {
  private link: Link | undefined;

  /** Link whose `attach` has no answer yet, and the view, if one arrived before that answer. */
  private pendingAttach: { link: Link; view?: WorkerView } | undefined;

  private workerView: WorkerView | undefined;

  /** Resources of the assignments that the agent has not answered. */
  private readonly reserved = new Set<Resources>();

  /** Reading of the agent's clock, sent back with each assignment to show its age. */
  private clockReading = ClockReading.create(0);

  /** Monotonic time of the last assignment or renewal, in milliseconds. */
  private lastContactAt = 0;

  private startKnowledge = NO_KNOWLEDGE;

  private renewalTimer: NodeJS.Timeout | undefined;

  private renewalDueAt = Infinity;

  private failedAttempts = 0;

  private isClosed = false;

  private reconnectTimer: NodeJS.Timeout | undefined;

  /** Monotonic time until which the agent gets no assignments because it declined one. */
  pausedUntil = 0;

  /** What the agent has been asked to queue. */
  readonly queueRequests = QueueRequests.create();

  private constructor(
    public agent: RegisteredProcess,
    private readonly host: AgentConnectionHost,
  ) {}

  /**
   * @param agent - the agent as registered in the store
   * @param host - what the connection needs from its entry
   * @param delayMs - time until it is opened, in milliseconds
   * @returns a connection that is being opened
   */
  static create(
    agent: RegisteredProcess,
    host: AgentConnectionHost,
    delayMs: number,
  ): AgentConnection {
    const connection = new AgentConnection(agent, host);
    if (delayMs > 0) connection.openAfter(delayMs);
    else void connection.open();
    return connection;
  }

  /** Name of the agent. */
  get name(): string {
    return this.agent.name;
  }

  /** The newest view that the agent has sent; `undefined` while the connection is not attached. */
  get view(): WorkerView | undefined {
    return this.link ? this.workerView : undefined;
  }

  /** Resources that neither runs nor unanswered assignments occupy. */
  get free(): Resources {
    const free = this.workerView?.free ?? { cpu: 0, memoryMb: 0, accelerators: 0 };
    return [...this.reserved].reduce(subtractResources, free);
  }

  /**
   * @param link - a link
   * @returns true when this connection uses the link
   */
  usesLink(link: Link): boolean {
    return this.link === link || this.pendingAttach?.link === link;
  }

  /**
   * Handles a view that the agent has sent.
   *
   * @param view - state and resources of the agent's worker
   */
  updateView(view: WorkerView): void {
    if (this.pendingAttach) {
      this.pendingAttach.view = view;
      return;
    }
    if (view.state !== this.workerView?.state) {
      const { state, reason } = view;
      this.host.log.info({ agent: this.name, state, reason }, 'agent_state');
    }
    this.workerView = view;
    this.queueRequests.update(view, performance.now());
    this.pausedUntil = 0;
    this.host.onChange(this.name, view);
  }

  /**
   * Updates the free resources of the agent's worker.
   *
   * @param free - free resources as the agent counts them
   * @param report - what it reports of its queue
   */
  updateFree(free: Resources, { queueMs, queueFullFor }: QueueReport = {}): void {
    if (this.workerView) this.workerView = { ...this.workerView, free, queueMs, queueFullFor };
    this.queueRequests.update({ queueMs, queueFullFor }, performance.now());
    this.pausedUntil = 0;
  }

  /**
   * Sends an assignment to the agent.
   *
   * @param assignment - the runs and what they need
   * @returns the agent's answer
   * @throws CallError when there is no answer; unless its fault is `notSent`, the runs may have
   * started
   */
  async assign(assignment: Assignment): Promise<Result<'assign'>> {
    const { link } = this;
    if (!link) throw CallError.create('notSent', `${this.name} is not attached`);
    const reservation = scaleResources(assignment.needs, assignment.runs.length);
    this.reserved.add(reservation);
    this.lastContactAt = performance.now();
    this.scheduleRenewal(RENEW_PERIOD_MS);
    try {
      const { clock: echo, at } = this.clockReading;
      const asOf = performance.now();
      const params = { ...assignment, echo, heldMs: asOf - at };
      const answer = await link.call('assign', params, AGENT_CALL_TIMEOUT_MS);
      this.clockReading.update(answer.clock);
      this.startKnowledge = { unsettled: answer.unsettled, asOf };
      this.updateFree(answer.free, answer);
      return answer;
    } catch (error) {
      // It is unknown whether these runs started. The agent stops them when the connection closes.
      if (!(error instanceof CallError) || error.fault !== 'notSent') link.close();
      throw error;
    } finally {
      this.reserved.delete(reservation);
    }
  }

  /**
   * Compares the clocks of agent and entry. While the VM of the entry is suspended, only the agent's advances.
   *
   * @returns by how much more the agent's has advanced since it was last read, in milliseconds; `undefined` when the
   * agent does not answer
   */
  async measureSuspension(): Promise<number | undefined> {
    const { link } = this;
    if (!link) return undefined;
    const { clock, at } = this.clockReading;
    const elapsedMs = performance.now() - at;
    try {
      const answer = await link.call('renew', {}, AGENT_CALL_TIMEOUT_MS);
      return answer.clock - clock - elapsedMs;
    } catch (error) {
      this.logFailure('clock_not_read', error);
      return undefined;
    }
  }

  /**
   * Tells the agent to stop the runs of jobs.
   *
   * @param jobs - identifiers of the jobs
   */
  abandon(jobs: string[]): void {
    this.link?.notify('abandon', { jobs });
  }

  /**
   * Sends rules to the agent.
   *
   * @param rules - the rules, newer than those sent before
   */
  sendRules(rules: AdmissionRules): void {
    this.link?.notify('rules', rules);
  }

  /** Closes the connection for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.reconnectTimer);
    clearTimeout(this.renewalTimer);
    this.link?.close();
  }

  /**
   * Schedules a renewal for the given time after the last contact, unless one is due sooner. Without
   * renewals the agent would stop the runs of this entry. An assignment counts as a renewal.
   */
  private scheduleRenewal(periodMs: number): void {
    const dueAt = this.lastContactAt + periodMs;
    if (dueAt >= this.renewalDueAt) return;
    clearTimeout(this.renewalTimer);
    this.renewalDueAt = dueAt;
    this.renewalTimer = setTimeout(
      () => void this.renew(),
      Math.max(0, Math.ceil(dueAt - performance.now())),
    );
  }

  /**
   * Sends a renewal if one is due. While the entry has no runs at the agent, renewals are rare and only
   * refresh the reading of the agent's clock.
   */
  private async renew(): Promise<void> {
    const { link } = this;
    this.renewalDueAt = Infinity;
    if (!link) return;
    const periodMs = this.host.hasRuns(this.name) ? RENEW_PERIOD_MS : IDLE_RENEW_PERIOD_MS;
    const isDue = performance.now() >= this.lastContactAt + periodMs;
    if (isDue) this.lastContactAt = performance.now();
    this.scheduleRenewal(periodMs);
    if (isDue) await this.sendRenewal(link);
  }

  private async sendRenewal(link: Link): Promise<void> {
    try {
      const asOf = performance.now();
      const { clock, unsettled } = await link.call('renew', {}, AGENT_CALL_TIMEOUT_MS);
      this.clockReading.update(clock);
      this.startKnowledge = { unsettled, asOf };
    } catch (error) {
      if (link.isOpen) this.logFailure('agent_silent', error);
      link.close();
    }
  }

  private async open(): Promise<void> {
    try {
      const link = await this.host.dial(this.agent.address);
      await this.attach(link);
    } catch (error) {
      if (this.failedAttempts === 0) this.logFailure('agent_unreachable', error);
      this.scheduleReconnect();
    }
  }

  private async attach(link: Link): Promise<void> {
    const pendingAttach: { link: Link; view?: WorkerView } = { link };
    this.pendingAttach = pendingAttach;
    try {
      const params = { entry: this.host.entry, rules: this.host.rules() };
      const answer = await link.call('attach', params, ATTACH_TIMEOUT_MS);
      this.pendingAttach = undefined;
      if (this.isClosed) {
        link.close();
        return;
      }
      this.clockReading = ClockReading.create(answer.clock);
      this.link = link;
      this.failedAttempts = 0;
      this.lastContactAt = performance.now();
      this.scheduleRenewal(IDLE_RENEW_PERIOD_MS);
      link.onClose(() => this.handleClose(link));
      this.host.log.info({ agent: this.name }, 'agent_attached');
      this.sendNewerRules(answer.rules);
      this.host.onRules(answer.rules);
      answer.crashes.forEach((crash) => this.host.onCrash(crash));
      this.host.onUnsettled(this.name, answer.unsettled);
      this.updateView(pendingAttach.view ?? answer.view);
    } catch (error) {
      this.pendingAttach = undefined;
      link.close();
      throw error;
    }
  }

  /** Sends the rules that have become newer than the agent's while the connection was being opened. */
  private sendNewerRules({ revision }: AdmissionRules): void {
    const rules = this.host.rules();
    if (rules.revision > revision) this.sendRules(rules);
  }

  private handleClose(link: Link): void {
    if (this.link !== link) return;
    this.link = undefined;
    this.workerView = undefined;
    clearTimeout(this.renewalTimer);
    this.renewalDueAt = Infinity;
    this.host.log.warn({ agent: this.name }, 'agent_lost');
    this.host.onLost(this.name, this.startKnowledge);
    this.startKnowledge = NO_KNOWLEDGE;
    this.scheduleReconnect();
  }

  private scheduleReconnect(): void {
    if (this.isClosed) return;
    const backoffMs = Math.min(
      MAX_RECONNECT_BACKOFF_MS,
      RECONNECT_BACKOFF_MS * 2 ** this.failedAttempts,
    );
    this.failedAttempts = Math.min(this.failedAttempts + 1, 10);
    this.openAfter(backoffMs * (0.5 + this.host.random() / 2));
  }

  private openAfter(delayMs: number): void {
    this.reconnectTimer = setTimeout(() => void this.open(), delayMs);
  }

  private logFailure(event: string, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.host.log.warn({ agent: this.name, address: this.agent.address, detail }, event);
  }
}
