import { setIoTimeout } from '@marjorammast/protocol';
import type {
  AdmissionRules,
  Link,
  Params,
  Resources,
  RunEnd,
  UnsettledTasks,
  WorkerCrash,
  WorkerView,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ACTIVE_ENTRY_MS, ENTRY_TIMEOUT_MS } from './constants';
import { viewDelay } from './viewDelay';
import type { Run } from './run';

/** What the connections need from their agent. */
export type EntryConnectionsHost = {
  /** State of the worker, as it is sent to the entries. */
  view: () => WorkerView;
  /** Identifiers of the connections whose entries have runs on the worker, or tasks that wait for it. */
  ownersOfRuns: () => ReadonlySet<string>;
  /** Called when a connection was closed, by either side. */
  onDetached: (id: string) => number;
  log: Log;
};

type EntryConnection = {
  /** Unique for each connection, also among those of one entry. */
  id: string;
  link: Link;
  entry: string;
  /** Monotonic time of the last assignment or renewal, in milliseconds. */
  lastContactAt: number;
  /** Monotonic time of the last assignment, in milliseconds. */
  lastAssignmentAt: number;
  /** Resources that a task of the last assignment needs. */
  lastNeeds?: Resources;
  /** Ends of runs that are sent together at the end of the current event-loop turn. */
  pendingEnds: Params<'ended'>['runs'];
  /** Runs of the last assignment were declined: the view is sent as soon as the next run ends. */
  wasDeclined: boolean;
  /** The view that the entry has, with the free resources that it received last. */
  known: WorkerView;
  /** Monotonic time at which the entry is to get a view; `undefined` when it has the current one. */
  viewDueAt?: number;
};

/** The connections of an agent to the entries: what each has been told, and which has gone silent. */
export class EntryConnections {
  private readonly connections = new Map<Link, EntryConnection>();

  /** The same connections by their identifiers. */
  private readonly connectionsById = new Map<string, EntryConnection>();

  private connectionCount = 0;

  private viewTimer: NodeJS.Timeout | undefined;

  private viewTimerDueAt = Infinity;

  /** Set while entries with runs are watched. */
  private clearSilenceTimeout: (() => void) | undefined;

  private isChangePending = false;

  /** Tasks of starts without an answer that are sent together at the end of the current event-loop turn. */
  private pendingUnsettled: UnsettledTasks = [];

  private constructor(private readonly host: EntryConnectionsHost) {}

  /**
   * @param host - what the connections need from their agent
   * @returns no connections
   */
  static create(host: EntryConnectionsHost): EntryConnections {
    return new EntryConnections(host);
  }

  /**
   * Adds the connection of an entry, which gets the current view with the answer.
   *
   * @param entry - name of the entry
   * @param link - its link
   */
  add(entry: string, link: Link): void {
    this.connectionCount += 1;
    const connection = {
      id: `${entry}#${this.connectionCount}`,
      link,
      entry,
      lastContactAt: performance.now(),
      lastAssignmentAt: -Infinity,
      pendingEnds: [],
      wasDeclined: false,
      known: this.host.view(),
    };
    this.connections.set(link, connection);
    this.connectionsById.set(connection.id, connection);
    link.onClose(() => this.remove(link));
  }

  /**
   * @param link - link of an entry
   * @returns true while the connection is attached
   */
  has(link: Link): boolean {
    return this.connections.has(link);
  }

  /**
   * @param link - link of an entry
   * @returns identifier of the connection, which is the owner of its runs
   */
  idOf(link: Link): string {
    return this.connections.get(link)?.id ?? '';
  }

  /**
   * @param link - link of an entry
   * @returns name of the entry, or of the link when it is not attached
   */
  nameOf(link: Link): string {
    return this.connections.get(link)?.entry ?? link.name;
  }

  /**
   * @param id - identifier of a connection
   * @returns true while its entry has not been silent for so long that its runs are stopped
   */
  isHeard(id: string): boolean {
    const connection = this.connectionsById.get(id);
    return (
      connection !== undefined && performance.now() - connection.lastContactAt < ENTRY_TIMEOUT_MS
    );
  }

  /**
   * Records that an entry has renewed its runs.
   *
   * @param link - link of the entry
   */
  recordContact(link: Link): void {
    const connection = this.connections.get(link);
    if (connection) connection.lastContactAt = performance.now();
  }

  /**
   * Records an assignment. Its answer tells the entry the free resources.
   *
   * @param link - link of the entry
   * @param needs - resources that one of its tasks needs
   * @param wasDeclined - true when some of its tasks were declined
   */
  recordAssignment(link: Link, needs: Resources, wasDeclined: boolean): void {
    const connection = this.connections.get(link);
    if (!connection) return;
    const now = performance.now();
    connection.lastContactAt = now;
    connection.lastAssignmentAt = now;
    connection.lastNeeds = needs;
    connection.wasDeclined = wasDeclined;
    this.recordFree(connection, this.host.view().free);
    this.watchSilence();
  }

  /**
   * Tells the owner of a run that the run has ended. Ends within one turn of the event loop are sent
   * together.
   *
   * @param run - the run
   * @param how - how it ended
   * @param ms - time since its admission, in milliseconds
   */
  reportEnd(run: Pick<Run, 'task' | 'run' | 'ownerId'>, how: RunEnd, ms: number): void {
    const connection = this.connectionsById.get(run.ownerId);
    if (connection) {
      if (connection.pendingEnds.length === 0) setImmediate(() => this.sendEnds(connection));
      connection.pendingEnds.push([run.task.job, run.task.index, run.run, how, Math.round(ms)]);
    }
    // A task that was only queued has freed no resources.
    if (how !== 'unqueued') this.notifyDeclined();
  }

  /**
   * Schedules the views that entries need after a change of the worker. All changes within one turn of
   * the event loop are looked at together.
   */
  handleChange(): void {
    if (this.isChangePending) return;
    this.isChangePending = true;
    setImmediate(() => {
      this.isChangePending = false;
      this.findDueViews();
    });
  }

  /**
   * Sends rules to all entries.
   *
   * @param rules - the rules
   */
  sendRules(rules: AdmissionRules): void {
    this.connections.forEach(({ link }) => link.notify('rules', rules));
  }

  /**
   * Reports a crash of the worker to all entries.
   *
   * @param crash - the crash, or the silence of a worker that may have crashed
   */
  sendCrash(crash: WorkerCrash): void {
    this.connections.forEach(({ link }) => link.notify('crash', crash));
  }

  /**
   * Tells all entries that a start of a task has no answer, before they hear of ends that are reported
   * afterwards.
   *
   * @param task - the task and its worker
   */
  reportUnsettled(task: UnsettledTasks[number]): void {
    if (this.pendingUnsettled.length === 0) setImmediate(() => this.sendUnsettled());
    this.pendingUnsettled.push(task);
  }

  /** Closes all connections. */
  closeAll(): void {
    clearTimeout(this.viewTimer);
    this.clearSilenceTimeout?.();
    this.connections.forEach(({ link }) => link.close());
  }

  private findDueViews(): void {
    const view = this.host.view();
    const now = performance.now();
    this.connections.forEach((connection) => {
      const isActive = now - connection.lastAssignmentAt < ACTIVE_ENTRY_MS;
      const delayMs = viewDelay({ ...connection, isActive }, view);
      connection.viewDueAt =
        delayMs === undefined
          ? undefined
          : Math.min(connection.viewDueAt ?? Infinity, now + delayMs);
    });
    this.scheduleViews();
  }

  private remove(link: Link): void {
    const connection = this.connections.get(link);
    if (!connection) return;
    this.connections.delete(link);
    this.connectionsById.delete(connection.id);
    const stopped = this.host.onDetached(connection.id);
    this.host.log.info({ entry: connection.entry, stopped }, 'entry_detached');
  }

  private recordFree(connection: EntryConnection, free: Resources): void {
    connection.known = { ...connection.known, free };
  }

  private sendUnsettled(): void {
    const unsettled = this.pendingUnsettled;
    if (unsettled.length === 0) return;
    this.pendingUnsettled = [];
    this.connections.forEach(({ link }) => link.notify('unsettled', { unsettled }));
  }

  private sendEnds(connection: EntryConnection): void {
    this.sendUnsettled();
    const runs = connection.pendingEnds;
    const { free, queueMs, queueFullFor } = this.host.view();
    connection.pendingEnds = [];
    this.recordFree(connection, free);
    connection.link.notify('ended', { runs, free, queueMs, queueFullFor });
  }

  /** Sends the view at once to entries whose last assignment was not admitted in full. */
  private notifyDeclined(): void {
    this.connections.forEach((connection) => {
      if (!connection.wasDeclined) return;
      connection.wasDeclined = false;
      this.sendView(connection);
    });
  }

  private sendView(connection: EntryConnection): void {
    const view = this.host.view();
    connection.known = view;
    connection.viewDueAt = undefined;
    connection.link.notify('view', view);
  }

  private scheduleViews(): void {
    const dueTimes = [...this.connections.values()].map(({ viewDueAt }) => viewDueAt ?? Infinity);
    const dueAt = Math.min(Infinity, ...dueTimes);
    if (dueAt >= this.viewTimerDueAt) return;
    clearTimeout(this.viewTimer);
    this.viewTimerDueAt = dueAt;
    this.viewTimer = setTimeout(
      () => this.sendDueViews(),
      Math.max(0, Math.ceil(dueAt - performance.now())),
    );
  }

  private sendDueViews(): void {
    this.viewTimerDueAt = Infinity;
    const now = performance.now();
    this.connections.forEach((connection) => {
      if (connection.viewDueAt !== undefined && connection.viewDueAt <= now) {
        this.sendView(connection);
      }
    });
    this.scheduleViews();
  }

  /**
   * Watches for silent entries for as long as an entry has runs: the timer is set to the nearest time
   * at which one would have been silent for too long.
   */
  private watchSilence(): void {
    if (this.clearSilenceTimeout) return;
    const owners = this.host.ownersOfRuns();
    const contactTimes = [...this.connections.values()].flatMap(({ id, lastContactAt }) =>
      owners.has(id) ? [lastContactAt] : [],
    );
    if (contactTimes.length === 0) return;
    const delayMs = Math.min(...contactTimes) + ENTRY_TIMEOUT_MS - performance.now();
    this.clearSilenceTimeout = setIoTimeout(
      () => {
        this.clearSilenceTimeout = undefined;
        this.closeSilent();
        this.watchSilence();
      },
      Math.max(1, Math.ceil(delayMs)),
    );
  }

  /** Closes the connections to entries that have runs but have sent nothing for too long. */
  private closeSilent(): void {
    const now = performance.now();
    const owners = this.host.ownersOfRuns();
    [...this.connections.values()]
      .filter(({ id, lastContactAt }) => owners.has(id) && now - lastContactAt >= ENTRY_TIMEOUT_MS)
      .forEach(({ link, entry, lastContactAt }) => {
        this.host.log.warn({ entry, silentMs: Math.round(now - lastContactAt) }, 'entry_silent');
        link.close();
      });
  }
}
