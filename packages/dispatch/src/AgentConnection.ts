import { CallError, scaleResources, subtractResources } from '@marjorammast/protocol';
import type {
  GateRules,
  Link,
  ListedProcess,
  Params,
  Resources,
  Result,
  WorkerView,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import {
  ANSWER_TIMEOUT_MS,
  ATTACH_TIMEOUT_MS,
  IDLE_RENEW_PERIOD_MS,
  MAX_REDIAL_MS,
  REDIAL_MS,
  RENEW_PERIOD_MS,
} from './constants';

/** What a connection needs of its entry. */
export type AgentConnectionHost = {
  entry: string;
  dial: (address: string) => Promise<Link>;
  rules: () => GateRules;
  /** True while the entry has runs at the agent. */
  hasRuns: (agent: string) => boolean;
  /** The agent's view has changed, or the connection was opened. */
  changed: () => void;
  /** The connection was lost; runs at the agent lapse. */
  lost: (agent: string) => void;
  /** The agent knows newer rules. */
  newerRules: (rules: GateRules) => void;
  random: () => number;
  log: Log;
};

/** An assignment without what the connection adds. */
export type Assignment = Omit<Params<'assign'>, 'echo' | 'heldMs'>;

/** The connection to one agent, dialled again until it is closed. */
export class AgentConnection {
  private link: Link | undefined;

  /** Link whose `attach` has no answer yet, with the view that was read before it. */
  private attaching: { link: Link; view?: WorkerView } | undefined;

  private workerView: WorkerView | undefined;

  /** Room of assignments that the agent has not answered. */
  private readonly reserved = new Set<Resources>();

  private echo = 0;

  private echoAt = 0;

  private renewedAt = 0;

  private isRenewing = false;

  private failures = 0;

  private isClosed = false;

  private timer: NodeJS.Timeout | undefined;

  /** Time until which the agent is not asked again after it declined. */
  pausedUntil = 0;

  private constructor(
    public listed: ListedProcess,
    private readonly host: AgentConnectionHost,
  ) {}

  /**
   * @param listed - the agent
   * @param host - what the connection needs of its entry
   * @returns a connection that is being opened
   */
  static create(listed: ListedProcess, host: AgentConnectionHost): AgentConnection {
    const connection = new AgentConnection(listed, host);
    void connection.open();
    return connection;
  }

  get name(): string {
    return this.listed.name;
  }

  /** What the agent last said; absent while it is not attached. */
  get view(): WorkerView | undefined {
    return this.link ? this.workerView : undefined;
  }

  /** Room that no run and no unanswered assignment takes. */
  get free(): Resources {
    const free = this.workerView?.free ?? { cpu: 0, memoryMb: 0, accelerators: 0 };
    return [...this.reserved].reduce(subtractResources, free);
  }

  /**
   * True when a link is this connection's.
   *
   * @param link - the link
   */
  owns(link: Link): boolean {
    return this.link === link || this.attaching?.link === link;
  }

  /**
   * Takes a new view.
   *
   * @param view - the agent's view
   */
  takeView(view: WorkerView): void {
    if (this.attaching) {
      this.attaching.view = view;
      return;
    }
    if (view.state !== this.workerView?.state) {
      const { state, reason } = view;
      this.host.log.info({ agent: this.name, state, reason }, 'agent_state');
    }
    this.workerView = view;
    this.pausedUntil = 0;
    this.host.changed();
  }

  /**
   * Takes a new amount of free room.
   *
   * @param free - room as the agent counts it
   */
  takeFree(free: Resources): void {
    if (this.workerView) this.workerView = { ...this.workerView, free };
    this.pausedUntil = 0;
  }

  /**
   * Assigns runs.
   *
   * @param assignment - the runs
   * @returns the agent's answer
   * @throws CallError; with `lost` the runs may have started
   */
  async assign(assignment: Assignment): Promise<Result<'assign'>> {
    const { link } = this;
    if (!link) throw CallError.create('notSent', `${this.name} is not attached`);
    const reservation = scaleResources(assignment.needs, assignment.runs.length);
    this.reserved.add(reservation);
    try {
      const heldMs = performance.now() - this.echoAt;
      const params = { ...assignment, echo: this.echo, heldMs };
      const answer = await link.call('assign', params, ANSWER_TIMEOUT_MS);
      this.takeClock(answer.clock);
      this.takeFree(answer.free);
      return answer;
    } catch (error) {
      // Runs in doubt end with the connection, and the agent stops them.
      if (!(error instanceof CallError) || error.fault !== 'notSent') link.close();
      throw error;
    } finally {
      this.reserved.delete(reservation);
    }
  }

  /**
   * Tells the agent that jobs are no longer wanted.
   *
   * @param jobs - their identifiers
   */
  abandon(jobs: string[]): void {
    this.link?.notify('abandon', { jobs });
  }

  /**
   * Sends newer rules.
   *
   * @param rules - the rules
   */
  sendRules(rules: GateRules): void {
    this.link?.notify('rules', rules);
  }

  /** Keeps the runs at the agent alive, or now and then its clock fresh. */
  renew(): void {
    const { link } = this;
    if (!link || this.isRenewing) return;
    const periodMs = this.host.hasRuns(this.name) ? RENEW_PERIOD_MS : IDLE_RENEW_PERIOD_MS;
    if (performance.now() - this.renewedAt < periodMs) return;
    void this.renewNow(link);
  }

  /** Closes the connection for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    this.link?.close();
  }

  private async renewNow(link: Link): Promise<void> {
    this.isRenewing = true;
    this.renewedAt = performance.now();
    try {
      const { clock } = await link.call('renew', {}, ANSWER_TIMEOUT_MS);
      this.takeClock(clock);
    } catch (error) {
      if (link.isOpen) this.logFailure('agent_silent', error);
      link.close();
    } finally {
      this.isRenewing = false;
    }
  }

  private takeClock(clock: number): void {
    this.echo = clock;
    this.echoAt = performance.now();
  }

  private async open(): Promise<void> {
    try {
      const link = await this.host.dial(this.listed.address);
      await this.attach(link);
    } catch (error) {
      if (this.failures === 0) this.logFailure('agent_unreachable', error);
      this.redial();
    }
  }

  private async attach(link: Link): Promise<void> {
    const attaching: { link: Link; view?: WorkerView } = { link };
    this.attaching = attaching;
    try {
      const params = { entry: this.host.entry, rules: this.host.rules() };
      const answer = await link.call('attach', params, ATTACH_TIMEOUT_MS);
      this.attaching = undefined;
      if (this.isClosed) {
        link.close();
        return;
      }
      this.takeClock(answer.clock);
      this.link = link;
      this.failures = 0;
      link.onClose(() => this.lose(link));
      this.host.log.info({ agent: this.name }, 'agent_attached');
      this.host.newerRules(answer.rules);
      this.takeView(attaching.view ?? answer.view);
    } catch (error) {
      this.attaching = undefined;
      link.close();
      throw error;
    }
  }

  private lose(link: Link): void {
    if (this.link !== link) return;
    this.link = undefined;
    this.workerView = undefined;
    this.host.log.warn({ agent: this.name }, 'agent_lost');
    this.host.lost(this.name);
    this.redial();
  }

  private redial(): void {
    if (this.isClosed) return;
    const base = Math.min(MAX_REDIAL_MS, REDIAL_MS * 2 ** this.failures);
    this.failures = Math.min(this.failures + 1, 10);
    const ms = base * (0.5 + this.host.random() / 2);
    this.timer = setTimeout(() => void this.open(), ms);
  }

  private logFailure(event: string, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.host.log.warn({ agent: this.name, address: this.listed.address, detail }, event);
  }
}
