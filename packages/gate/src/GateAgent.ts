import { NO_RESOURCES, createCallServer, sleep, taskKey } from '@marjorammast/protocol';
import type {
  CallServer,
  GateRules,
  Link,
  Params,
  Result,
  RunEnd,
  WorkerView,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { admit } from './admit';
import type { AdmissionView } from './admit';
import { DOUBT_MS, OWNER_CHECK_MS, OWNER_SILENCE_MS, VIEW_PERIOD_MS } from './constants';
import { SlownessEstimate, findSlowRuns } from './SlownessEstimate';
import { WorkerHealth } from './WorkerHealth';
import { WorkerLife } from './WorkerLife';
import type { Inheritance, Run } from './WorkerLife';
import type { WorkerPort, WorkerReport } from './WorkerPort';

/** Counts and timings that an agent gives. */
export type GateMeter = {
  assigned: (taken: number, declined: number, reason: string) => void;
  ended: (how: RunEnd, ms: number) => void;
};

/** What an agent is made of. */
export type GateAgentParts = {
  name: string;
  dataCenter: string;
  port: WorkerPort;
  /** Clock that also counts time in which the VM was suspended, in milliseconds. */
  clock: () => number;
  log: Log;
  meter: GateMeter;
};

type Owner = {
  /** Tells connections of one entry apart. */
  id: string;
  link: Link;
  entry: string;
  heardAt: number;
  /** Ends that are sent at the end of this turn of the event loop. */
  ends: Params<'ended'>['runs'];
  /** Was declined for want of room and is told of room at once. */
  isShort: boolean;
  /** View that it was told last, as text; empty when it knows another room by now. */
  toldView: string;
};

type Assignment = Params<'assign'>;

/** The one gate through which tasks reach a worker. */
export class GateAgent {
  /** Answers the calls of entries. */
  readonly server: CallServer;

  private life: WorkerLife | undefined;

  /** What the last life of the worker has left to the next. */
  private inheritance: Inheritance = { token: 0, doubtful: [] };

  private health = this.createHealth();

  private rules: GateRules = { revision: 0, outDataCenters: [] };

  private readonly owners = new Map<Link, Owner>();

  private ownerCount = 0;

  private slowness = SlownessEstimate.create();

  private isStopping = false;

  private viewTimer: NodeJS.Timeout | undefined;

  private readonly watchdog: NodeJS.Timeout;

  private constructor(private readonly parts: GateAgentParts) {
    this.server = this.createServer();
    this.watchdog = setInterval(() => this.watchOwners(), OWNER_CHECK_MS);
  }

  /**
   * @param parts - what the agent is made of
   * @returns an agent without a worker
   */
  static create(parts: GateAgentParts): GateAgent {
    return new GateAgent(parts);
  }

  /**
   * Takes a report of the worker.
   *
   * @param report - the report
   */
  report(report: WorkerReport): void {
    const { life } = this;
    if (life?.identity.id === report.id && life.identity.born === report.born) {
      life.update(report);
      return;
    }
    // A report of a former life may arrive late.
    if (life && report.born < life.identity.born) return;
    this.beginLife(report);
  }

  /**
   * Notes that the worker has signed off.
   *
   * @param id - the worker
   */
  signOff(id: string): void {
    if (this.life?.identity.id === id) this.endLife('signed off');
  }

  /**
   * Stops gracefully: takes nothing new and waits for the runs in progress.
   *
   * @param timeoutMs - longest time to wait, in milliseconds
   */
  async stop(timeoutMs: number): Promise<void> {
    this.isStopping = true;
    this.parts.log.info({ runs: this.life?.size ?? 0 }, 'stopping');
    this.sendView();
    const until = performance.now() + timeoutMs;
    while ((this.life?.size ?? 0) > 0 && performance.now() < until) await sleep(VIEW_PERIOD_MS);
    this.halt();
  }

  /** Ends at once. */
  halt(): void {
    clearInterval(this.watchdog);
    clearTimeout(this.viewTimer);
    this.owners.forEach(({ link }) => link.close());
    this.endLife('agent stopped');
    this.inheritance = { ...this.inheritance, doubtful: [] };
  }

  /** What the entries are told. */
  get view(): WorkerView {
    const { life } = this;
    const reason = this.obstacle;
    const soundness = this.health.soundness === 'sound' ? 'open' : 'trial';
    return {
      service: life?.latest.service ?? '',
      labels: life?.latest.labels ?? [],
      capacity: life?.latest.capacity ?? NO_RESOURCES,
      free: life?.free ?? NO_RESOURCES,
      state: reason ? 'closed' : soundness,
      reason,
      slowness: this.slowness.value,
    };
  }

  private get obstacle(): string {
    if (this.isStopping) return 'agent stopping';
    if (!this.life) return 'no worker';
    if (this.life.obstacle) return this.life.obstacle;
    return this.health.soundness === 'ejected' ? 'ejected' : '';
  }

  private createHealth(): WorkerHealth {
    return WorkerHealth.create(() => performance.now());
  }

  private beginLife(report: WorkerReport): void {
    this.endLife('replaced');
    this.health = this.createHealth();
    this.slowness = SlownessEstimate.create();
    const { id, born, service, capacity } = report;
    this.parts.log.info({ worker: id, born, service, cpu: capacity.cpu }, 'worker_found');
    const host = {
      port: this.parts.port,
      ended: (run: Run, how: RunEnd) => this.noteEnd(run, how),
      unhealthy: (run: Run) => this.noteFailure(run, 'unhealthy'),
      changed: () => this.scheduleView(),
      findSlow: (runs: readonly Run[]) => this.findSlow(runs),
      replaced: () => this.endLife('another life answered'),
      log: this.parts.log,
    };
    this.life = WorkerLife.create(report, host, this.inheritance);
    this.inheritance = { ...this.inheritance, doubtful: [] };
    this.scheduleView();
  }

  private endLife(reason: string): void {
    const { life } = this;
    if (!life) return;
    this.life = undefined;
    const { id, born } = life.identity;
    this.parts.log.info({ worker: id, born, reason, runs: life.size }, 'worker_ended');
    this.inheritance = life.end();
    const { doubtful } = this.inheritance;
    if (doubtful.length > 0) setTimeout(() => this.giveUp(doubtful), DOUBT_MS);
    this.scheduleView();
  }

  /** Without a next life, doubtful runs have ended once their lease has. */
  private giveUp(doubtful: readonly Run[]): void {
    if (this.inheritance.doubtful !== doubtful) return;
    this.inheritance = { ...this.inheritance, doubtful: [] };
    doubtful.forEach((run) => this.noteEnd(run, 'lapsed'));
  }

  private createServer(): CallServer {
    return createCallServer({
      attach: ({ entry, rules }, link) => this.attach(entry, rules, link),
      assign: (assignment, link) => this.assign(assignment, link),
      abandon: ({ jobs }) => {
        this.abandon((run) => jobs.includes(run.task.job));
        return {};
      },
      renew: (_, link) => {
        this.hear(link);
        return { clock: this.parts.clock() };
      },
      rules: (rules) => {
        this.takeRules(rules);
        return {};
      },
    });
  }

  private attach(entry: string, rules: GateRules, link: Link): Result<'attach'> {
    this.ownerCount += 1;
    const id = `${entry}#${this.ownerCount}`;
    const { view } = this;
    this.owners.set(link, {
      id,
      link,
      entry,
      heardAt: performance.now(),
      ends: [],
      isShort: false,
      toldView: JSON.stringify(view),
    });
    link.onClose(() => this.detach(link));
    this.takeRules(rules);
    this.parts.log.info({ entry, revision: rules.revision }, 'entry_attached');
    const { name, dataCenter, clock } = this.parts;
    return { agent: name, dataCenter, rules: this.rules, view, clock: clock() };
  }

  private detach(link: Link): void {
    const owner = this.owners.get(link);
    if (!owner) return;
    this.owners.delete(link);
    const count = this.abandon((run) => run.owner === owner.id);
    this.parts.log.info({ entry: owner.entry, stopped: count }, 'entry_detached');
  }

  private hear(link: Link): void {
    const owner = this.owners.get(link);
    if (owner) owner.heardAt = performance.now();
  }

  private takeRules(rules: GateRules): void {
    if (rules.revision <= this.rules.revision) return;
    this.rules = rules;
    const { revision, outDataCenters } = rules;
    this.parts.log.info({ revision, out: outDataCenters.join(',') }, 'rules_applied');
    this.owners.forEach(({ link }) => link.notify('rules', rules));
  }

  private assign(assignment: Assignment, link: Link): Result<'assign'> {
    this.hear(link);
    const { reason, count } = admit(assignment, this.viewFor(assignment, link));
    const rows = assignment.runs.slice(0, count);
    rows.forEach(([index, run]) => this.take(assignment, index, run, link));
    const declined = assignment.runs.length - rows.length;
    const owner = this.owners.get(link);
    // The answer tells of room beside the view.
    if (owner) Object.assign(owner, { isShort: declined > 0, toldView: '' });
    this.parts.meter.assigned(rows.length, declined, reason ?? '');
    this.parts.log.info(
      { job: assignment.job, taken: rows.length, declined, reason, entry: this.nameOf(link) },
      'assigned',
    );
    this.scheduleView();
    return {
      taken: rows.map(([index]) => index),
      reason: declined > 0 ? (reason ?? 'room') : undefined,
      free: this.view.free,
      clock: this.parts.clock(),
    };
  }

  private nameOf(link: Link): string {
    return this.owners.get(link)?.entry ?? link.name;
  }

  private viewFor(assignment: Assignment, link: Link): AdmissionView {
    const { life, parts } = this;
    const { job, occurrence, step, echo, heldMs, runs } = assignment;
    const isOfStep = ({ task }: Run) =>
      task.job === job && task.occurrence === occurrence && task.step === step;
    return {
      isOpen: life !== undefined && !this.obstacle && this.owners.has(link),
      ageMs: parts.clock() - echo - heldMs,
      isDataCenterOut: this.rules.outDataCenters.includes(parts.dataCenter),
      service: life?.latest.service ?? '',
      labels: life?.latest.labels ?? [],
      free: life?.free ?? NO_RESOURCES,
      runs: life?.size ?? 0,
      runsOfStep: life?.select(isOfStep).length ?? 0,
      isAtWork: runs.some(([index]) => this.isAtWork(assignment, index)),
      isOnTrial: this.health.soundness === 'trial',
    };
  }

  private isAtWork({ job, occurrence, step }: Assignment, index: number): boolean {
    return this.life?.find({ job, occurrence, step, index }) !== undefined;
  }

  private take(assignment: Assignment, index: number, run: number, link: Link): void {
    const { job, occurrence, step, needs, estimateMs, bestSlowness, spec } = assignment;
    const now = performance.now();
    this.life?.take(
      {
        task: { job, occurrence, step, index },
        run,
        owner: this.owners.get(link)?.id ?? '',
        needs,
        estimateMs,
        bestSlowness,
        takenAt: now,
        state: 'starting',
        stopAs: 'stopped',
        percent: 0,
        progressAt: now,
        isListed: false,
      },
      spec,
    );
  }

  private abandon(isUnwanted: (run: Run) => boolean): number {
    const runs = this.life?.select(isUnwanted) ?? [];
    runs.forEach((run) => this.life?.stop(run));
    return runs.length;
  }

  private noteEnd(run: Run, how: RunEnd): void {
    const ms = performance.now() - run.takenAt;
    this.parts.meter.ended(how, ms);
    this.parts.log.info(
      { task: taskKey(run.task), run: run.run, how, ms: Math.round(ms) },
      'run_ended',
    );
    if (how === 'done') this.noteDone(run, ms);
    if (how === 'failed') this.noteFailure(run, how);
    const owner = [...this.owners.values()].find(({ id }) => id === run.owner);
    if (owner) this.queueEnd(owner, run, how, ms);
    this.tellShort();
    this.scheduleView();
  }

  private noteDone(run: Run, ms: number): void {
    this.health.noteDone();
    this.slowness.noteDone(ms, run.estimateMs);
  }

  private findSlow(runs: readonly Run[]): Run[] {
    const now = performance.now();
    if (this.slowness.noteProgress(runs, now)) {
      this.parts.log.warn({ slowness: this.slowness.value, runs: runs.length }, 'slowness_changed');
      this.scheduleView();
    }
    return findSlowRuns(runs, this.slowness.value, now);
  }

  private noteFailure(run: Run, how: string): void {
    if (!this.health.noteFailure(run.task.job)) return;
    this.parts.log.warn({ job: run.task.job, how }, 'worker_ejected');
    this.scheduleView();
  }

  /** Tells entries that lately found no room here that there is some. */
  private tellShort(): void {
    const short = [...this.owners.values()].filter(({ isShort }) => isShort);
    if (short.length === 0) return;
    short.forEach((owner) => Object.assign(owner, { isShort: false }));
    this.tellView(short);
  }

  private queueEnd(owner: Owner, run: Run, how: RunEnd, ms: number): void {
    if (owner.ends.length === 0) setImmediate(() => this.sendEnds(owner));
    owner.ends.push([run.task.job, run.task.index, run.run, how, Math.round(ms)]);
  }

  private sendEnds(owner: Owner): void {
    const runs = owner.ends;
    Object.assign(owner, { ends: [], toldView: '' });
    owner.link.notify('ended', { runs, free: this.view.free });
  }

  private scheduleView(): void {
    this.viewTimer ??= setTimeout(() => this.sendView(), VIEW_PERIOD_MS);
  }

  private sendView(): void {
    clearTimeout(this.viewTimer);
    this.viewTimer = undefined;
    this.tellView([...this.owners.values()]);
  }

  /** Tells entries the view, unless it is what they know. */
  private tellView(owners: readonly Owner[]): void {
    const { view } = this;
    const text = JSON.stringify(view);
    owners
      .filter(({ toldView }) => toldView !== text)
      .forEach((owner) => {
        Object.assign(owner, { toldView: text });
        owner.link.notify('view', view);
      });
  }

  private watchOwners(): void {
    // The view also changes by time, when an ejection ends.
    this.slowness.expire(performance.now());
    this.scheduleView();
    const before = performance.now() - OWNER_SILENCE_MS;
    const owing = new Set(this.life?.select(() => true).map((run) => run.owner));
    [...this.owners.values()]
      .filter(({ id, heardAt }) => heardAt < before && owing.has(id))
      .forEach(({ link, entry, heardAt }) => {
        const silentMs = Math.round(performance.now() - heardAt);
        this.parts.log.warn({ entry, silentMs }, 'entry_silent');
        link.close();
      });
  }
}
