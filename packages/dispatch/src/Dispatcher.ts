import { match } from 'ts-pattern';
import { CallError, countFitting, createStopwatch } from '@marjorammast/protocol';
import type {
  BoundTaskRows,
  Params,
  Resources,
  Route,
  RunEnd,
  UnsettledTasks,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { ActiveJob } from './ActiveJob';
import type { AgentConnection, Assignment, StartKnowledge } from './AgentConnection';
import {
  DECLINE_PAUSE_MS,
  MAX_DISPATCH_PASS_INTERVAL_MS,
  MAX_LATENESS_FACTOR,
  MAX_POLL_AGE_MS,
  RESERVED_TASKS,
  RUN_EXPIRY_MS,
} from './constants';
import type { CrashRecords } from './CrashRecords';
import { createRoomFinder } from './createRoomFinder';
import { findRefusal } from './findRefusal';
import type { Refusal } from './findRefusal';
import { groupWaitingTasks } from './groupWaitingTasks';
import type { TaskGroup } from './groupWaitingTasks';
import { OutstandingRuns } from './OutstandingRuns';
import type { OutstandingRun } from './OutstandingRuns';
import { placeTasks } from './placeTasks';
import type { Placement, PlacementGoal } from './placeTasks';
import { placeWaitingTasks, queueFieldsOf } from './placeWaitingTasks';
import type { Queueing } from './placeWaitingTasks';
import { QueueEstimate, workOf } from './QueueEstimate';
import type { RouteConfinement } from './RouteConfinement';
import { ScarcePlacement } from './ScarcePlacement';
import type { PlacementOptions } from './ScarcePlacement';
import { sortWaitingJobs } from './sortWaitingJobs';
import { TaskBindings } from './TaskBindings';
import { WorkerRooms } from './WorkerRooms';

/** What the dispatcher needs from its entry. */
export type DispatcherHost = {
  dataCenter: string;
  connections: () => Iterable<AgentConnection>;
  findConnection: (agent: string) => AgentConnection | undefined;
  /** Data centres that operators have evacuated: their agents get no tasks. */
  evacuatedDataCenters: () => readonly string[];
  /** Crashes of workers under tasks, which the entry records. */
  crashRecords: CrashRecords;
  /** Routes that are confined to a part of the workers. */
  confinement: RouteConfinement;
  /** How tasks without room wait at agents; they do not if absent. */
  queueing?: Queueing;
  /** Called before each pass, which relies on the age of the waiting jobs. */
  beforePass: () => void;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  log: Log;
  /** How tasks are placed on workers of different speed; fast workers come first if absent. */
  placement?: PlacementOptions;
};

/** Work of one queue in a pass, in thousandths of a core times milliseconds. */
type PassLoad = { placedWork: number; waitingWork: number; hasWorkers: boolean };

/** What an agent is told of all tasks of an assignment. */
type AssignmentTraits = Pick<
  Assignment,
  'bestSlowness' | 'isSuspect' | 'hasFailedElsewhere' | 'priority' | 'objectiveInMs' | 'maxQueueMs'
>;

/** The time that tasks have that are to wait at agents. */
type QueueGoal = Omit<PlacementGoal, 'count'>;

/** Assigns the tasks of accepted jobs to agents and applies the results of their runs to the jobs. */
export class Dispatcher {
  /** Jobs with waiting tasks. */
  private readonly queue = new Set<ActiveJob>();

  private readonly runs = OutstandingRuns.create();

  /** Tasks that may start on one worker only. */
  readonly bindings = TaskBindings.create();

  /** How long queued work waits, by service and lateness. */
  private readonly estimates = new Map<string, QueueEstimate>();

  private readonly scarcePlacement: ScarcePlacement;

  private isPassScheduled = false;

  private passTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly host: DispatcherHost) {
    this.scarcePlacement = ScarcePlacement.create(host.placement ?? {}, host.log);
  }

  /**
   * @param host - what the dispatcher needs from its entry
   * @returns a dispatcher without jobs
   */
  static create(host: DispatcherHost): Dispatcher {
    return new Dispatcher(host);
  }

  /** Number of jobs with waiting tasks. */
  get queuedJobs(): number {
    return this.queue.size;
  }

  /** Number of runs that have not ended. */
  get outstandingRuns(): number {
    return this.runs.count;
  }

  /** Number of services whose free capacity on fast workers is scarce. */
  get scarceServices(): number {
    return this.scarcePlacement.countScarce(performance.now());
  }

  /**
   * @param agent - name of an agent
   * @returns true while runs that were assigned to the agent have not ended
   */
  hasRuns(agent: string): boolean {
    return this.runs.has(agent);
  }

  /**
   * @param job - a job
   * @returns true while runs of an earlier submission of the job may be active
   */
  hasEarlierRuns(job: ActiveJob): boolean {
    return this.runs.hasEarlierRuns(job);
  }

  /**
   * @param job - identifier of a job
   * @returns true while a run of any submission of the job may be active
   */
  hasRunsOf(job: string): boolean {
    return this.runs.hasRunsOf(job);
  }

  /**
   * Queues a job: its waiting tasks are assigned as soon as workers have free resources.
   *
   * @param job - the job
   */
  add(job: ActiveJob): void {
    this.commitIfBound(job);
    this.queue.add(job);
    this.schedulePass();
  }

  /**
   * Removes an answered job and abandons its remaining runs. They stay outstanding until they have ended: until
   * then nothing is assigned for the job if it is submitted again.
   *
   * @param job - the job
   */
  remove(job: ActiveJob): void {
    this.queue.delete(job);
    job.agents.forEach((agent) => this.host.findConnection(agent)?.abandon([job.id]));
  }

  /** Schedules one dispatch pass for all calls in the same turn of the event loop. */
  schedulePass(): void {
    if (this.isPassScheduled) return;
    this.isPassScheduled = true;
    const elapsed = createStopwatch();
    // Runs after the poll phase, so that a client that disconnected while the VM was paused is
    // noticed before its job is dispatched.
    setImmediate(() => {
      // The VM was paused between the poll and now: another poll comes first.
      if (this.isPollOutdated(elapsed())) setImmediate(() => this.beginPass());
      else this.beginPass();
    });
  }

  /**
   * Handles ends of runs that an agent reports.
   *
   * @param agent - name of the agent
   * @param ends - rows of job, task index, run number, end and time since admission in milliseconds
   */
  handleRunEnds(agent: string, ends: Params<'ended'>['runs']): void {
    ends.forEach(([jobId, taskIndex, run, end, ms]) => {
      const outstanding = this.runs.find(agent, jobId, taskIndex);
      if (outstanding?.run !== run) return;
      if (end === 'done') this.recordRunTime(outstanding.job.route, agent, ms);
      this.runs.remove(agent, jobId, taskIndex);
      // A task that was queued at the agent may have been started since.
      if (end !== 'unqueued') outstanding.job.mayHaveRun = true;
      if (outstanding.job.isOpen && outstanding.job.isAssigned(taskIndex, agent, run)) {
        this.applyEnd(outstanding.job, taskIndex, agent, end);
      }
    });
    this.schedulePass();
  }

  /**
   * Binds tasks to the worker of an agent: a start that was sent there has no answer.
   *
   * @param agent - name of the agent
   * @param tasks - rows of job, task index and identifier of the worker
   */
  bindTasks(agent: string, tasks: UnsettledTasks): void {
    this.bindings.bind(agent, tasks);
    this.queue.forEach((job) => this.commitIfBound(job));
  }

  /**
   * Binds tasks of which another entry has told.
   *
   * @param rows - rows of job, task index, name of the agent and identifier of its worker
   */
  bindToldTasks(rows: BoundTaskRows): void {
    this.bindings.bindTold(rows);
    this.queue.forEach((job) => this.commitIfBound(job));
  }

  /**
   * Handles the loss of the connection to an agent: the tasks that run there are queued again once
   * their runs have certainly ended. Those whose starts may have no answer may start only there.
   *
   * @param agent - name of the agent
   * @param knowledge - what is known of the starts there
   */
  handleAgentLoss(agent: string, knowledge: StartKnowledge): void {
    const runs = this.runs.detachAll(agent);
    if (runs.length === 0) return;
    const unsettled = this.bindings.bindUnsettled(agent, runs, knowledge);
    this.host.log.warn(
      { agent, runs: runs.length, unsettled, lapseMs: RUN_EXPIRY_MS },
      'runs_lapsing',
    );
    // The worker may crash unseen while its agent is lost.
    const wantedRuns = runs.filter(({ job }) => job.isOpen);
    wantedRuns.forEach(({ job, index, incarnation }) => {
      const lost = { job: job.id, index, route: job.route.name, wasStarted: false };
      this.host.crashRecords.recordLoss(agent, incarnation, [lost]);
    });
    setTimeout(() => runs.forEach((run) => this.expireRun(agent, run)), RUN_EXPIRY_MS);
  }

  /** A job of which a start may be carried out later, also one of another copy, can't be refused as not run. */
  private commitIfBound(job: ActiveJob): void {
    if (this.bindings.has(job.id)) job.mayHaveRun = true;
  }

  /** Number of waiting tasks that may start on any worker. */
  private countUnbound(job: ActiveJob): number {
    const { waitingTasks } = job;
    return waitingTasks.filter((index) => this.bindings.agentsOf(job.id, index).length === 0)
      .length;
  }

  /** Stops dispatching. */
  halt(): void {
    clearTimeout(this.passTimer);
    this.queue.clear();
  }

  private beginPass(): void {
    this.isPassScheduled = false;
    this.host.beforePass();
    this.runPass();
  }

  /** Tells whether too much time has passed since the poll of the sockets to rely on it, and logs that. */
  private isPollOutdated(elapsedMs: number): boolean {
    if (elapsedMs <= MAX_POLL_AGE_MS) return false;
    this.host.log.warn({ elapsedMs: Math.round(elapsedMs) }, 'poll_outdated');
    return true;
  }

  private runPass(): void {
    clearTimeout(this.passTimer);
    const elapsed = createStopwatch();
    const now = performance.now();
    if (this.queue.size === 0) {
      this.recordLoads(new Map(), now);
      return;
    }
    this.passTimer = setTimeout(() => this.schedulePass(), MAX_DISPATCH_PASS_INTERVAL_MS);
    const { confinement } = this.host;
    const roomsOf = createRoomFinder((service) => this.findRooms(service, now), confinement);
    const jobs = sortWaitingJobs(this.queue, (route) => roomsOf(route).bestSlowness, now);
    const loads = new Map<QueueEstimate, PassLoad>();
    let isInterrupted = false;
    jobs.forEach(({ job, isLate }) => {
      isInterrupted ||= this.isPollOutdated(elapsed());
      if (isInterrupted) return;
      const rooms = roomsOf(job.route);
      const estimate = this.estimateOf(job.route, isLate);
      const load = loads.get(estimate) ?? { placedWork: 0, waitingWork: 0, hasWorkers: false };
      load.hasWorkers ||= rooms.hasWorkersFor(job.step);
      loads.set(estimate, load);
      this.placeJob(job, rooms, load);
      // Bound tasks wait for one worker, which says nothing of the wait for the others.
      const waitingWork = workOf(job.step, this.countUnbound(job));
      const estimatedWaitMs = estimate.waitMsFor(load.waitingWork, waitingWork);
      this.refuseIfHopeless(job, rooms, estimatedWaitMs);
      if (job.isOpen) load.waitingWork += waitingWork;
      if (job.isOpen && waitingWork > 0) {
        this.scarcePlacement.recordWaiting(job.route.service, now);
      }
    });
    this.recordLoads(loads, now);
    if (isInterrupted) this.schedulePass();
    if (this.queue.size === 0) clearTimeout(this.passTimer);
  }

  private recordLoads(loads: ReadonlyMap<QueueEstimate, PassLoad>, now: number): void {
    this.estimates.forEach((estimate) => {
      const load = loads.get(estimate);
      if (!load) {
        estimate.recordIdle(now);
        return;
      }
      const { placedWork, waitingWork, hasWorkers } = load;
      // How fast work is placed cannot be seen while there is no worker.
      estimate.record(placedWork, waitingWork > 0 && hasWorkers, now);
    });
  }

  private findRooms(service: string, now: number): WorkerRooms {
    const evacuatedDataCenters = this.host.evacuatedDataCenters();
    const { dataCenter } = this.host;
    const filter = { dataCenter, evacuatedDataCenters, now };
    const rooms = WorkerRooms.create(this.host.connections(), service, filter);
    if (this.scarcePlacement.isOn) {
      this.scarcePlacement.recordFreeShare(service, rooms.freeFastShare, now);
    }
    return rooms;
  }

  private recordRunTime({ name }: Route, agent: string, ms: number): void {
    if (!this.scarcePlacement.isOn) return;
    const view = this.host.findConnection(agent)?.view;
    if (view) this.scarcePlacement.recordRun(name, ms, view.slowness);
  }

  /**
   * Jobs that are late wait for others, and those of a confined route for its workers, so their rates are
   * estimated by themselves.
   */
  private estimateOf({ name, service }: Route, isLate: boolean): QueueEstimate {
    const confinedRoute = this.host.confinement.isConfined(name) ? name : '';
    const key = `${service} ${isLate} ${confinedRoute}`;
    const estimate = this.estimates.get(key) ?? QueueEstimate.create();
    this.estimates.set(key, estimate);
    return estimate;
  }

  private placeJob(job: ActiveJob, rooms: WorkerRooms, load: PassLoad): void {
    this.refuseIfHopeless(job, rooms);
    if (!job.isOpen || !job.mayStart || this.hasEarlierRuns(job)) return;
    const { step, objectiveAt } = job;
    const waitingBefore = job.waitingTasks.length;
    const { bestSlowness } = rooms;
    const { name, service } = job.route;
    const now = performance.now();
    const slackMs = objectiveAt - now;
    const { estimateMs } = step;
    const expectedMs = this.scarcePlacement.expectedMs(name, estimateMs);
    const goal = { estimateMs, expectedMs, slackMs, bestSlowness };
    const hasFastWorkers = () => rooms.hasFastWorkersFor(step);
    const rule = this.scarcePlacement.ruleFor(service, hasFastWorkers, now);
    [RESERVED_TASKS, 0].forEach((reservedTasks) => {
      this.groupTasks(job).forEach((group) => {
        const count = group.indexes.length;
        const placements =
          group.boundTo === undefined
            ? placeTasks(
                rooms.findCandidates(step, group.avoidedAgents, reservedTasks),
                { ...goal, count },
                this.host.random,
                rule,
              )
            : rooms.placeAt(group.boundTo, step, count);
        this.assignGroup(job, group, placements, rooms);
      });
    });
    this.queueAtAgents(job, rooms, goal);
    const waitingTasks = job.waitingTasks.length;
    load.placedWork += workOf(step, waitingBefore - waitingTasks);
    if (waitingTasks === 0) this.queue.delete(job);
  }

  private groupTasks(job: ActiveJob): TaskGroup[] {
    const { crashRecords } = this.host;
    return groupWaitingTasks(job, {
      isSuspect: (index) => crashRecords.isSuspect(job.id, index),
      mustWait: (index) =>
        crashRecords.mustWait(job.id, index) || this.bindings.agentsOf(job.id, index).length > 1,
      boundTo: (index) => this.bindings.agentsOf(job.id, index)[0],
    });
  }

  /** Queues the tasks of a job that fit on no worker at agents. */
  private queueAtAgents(job: ActiveJob, rooms: WorkerRooms, goal: QueueGoal): void {
    const { queueing, random } = this.host;
    if (!queueing || job.waitingTasks.length === 0) return;
    this.groupTasks(job)
      .filter(({ boundTo, isSuspect }) => boundTo === undefined && !isSuspect)
      .forEach((group) => {
        const queues = rooms.findQueues(job.step, group.avoidedAgents, job.route.priority);
        const count = group.indexes.length;
        const placements = placeWaitingTasks(queues, { ...goal, count }, queueing, random);
        this.assignGroup(job, group, placements, rooms);
      });
  }

  private assignGroup(
    job: ActiveJob,
    { indexes, avoidedAgents, isSuspect }: TaskGroup,
    placements: readonly Placement[],
    rooms: WorkerRooms,
  ): void {
    let assignedCount = 0;
    placements.forEach((placement) => {
      const end = assignedCount + placement.count;
      const hasFailedElsewhere = [...avoidedAgents].some((name) => name !== placement.agent);
      const traits = { bestSlowness: rooms.bestSlowness, isSuspect, hasFailedElsewhere };
      this.assign(job, placement, indexes.slice(assignedCount, end), traits);
      rooms.refresh(placement.agent);
      assignedCount = end;
    });
  }

  /**
   * Refuses a job that has no started or assigned run and cannot be served in time.
   *
   * @param job - the job
   * @param rooms - workers of its service
   * @param estimatedWaitMs - estimated time until its last task starts, in milliseconds
   */
  private refuseIfHopeless(job: ActiveJob, rooms: WorkerRooms, estimatedWaitMs?: number): void {
    if (job.isCommitted || !job.isOpen) return;
    const now = performance.now();
    const { step, arrivedAt, deadlineAt } = job;
    const objectiveMs = job.objectiveAt - arrivedAt;
    const usefulUntil = Math.min(deadlineAt, arrivedAt + MAX_LATENESS_FACTOR * objectiveMs);
    const startWithinMs = usefulUntil - step.estimateMs * rooms.bestSlowness - now;
    const ageMs = now - arrivedAt;
    const hasWorkers = rooms.hasWorkersFor(step);
    const refusal = findRefusal(
      { ageMs, objectiveMs, startWithinMs, estimatedWaitMs, hasWorkers },
      this.host.random(),
    );
    if (refusal) this.refuse(job, refusal, { ageMs, startWithinMs, estimatedWaitMs });
  }

  private refuse(job: ActiveJob, refusal: Refusal, inputs: Record<string, number | undefined>) {
    const rounded = Object.entries(inputs).map(([key, ms]) => [key, ms && Math.round(ms)]);
    const { reason, retryAfterMs } = refusal;
    this.host.log.info(
      {
        job: job.id,
        reason,
        retryAfterMs: Math.round(retryAfterMs),
        queued: this.queue.size,
        ...Object.fromEntries(rounded),
      },
      'job_refused',
    );
    job.settle({ type: 'refused', ...refusal });
  }

  private assign(
    job: ActiveJob,
    { agent }: Placement,
    indexes: readonly number[],
    traits: AssignmentTraits,
  ): void {
    const connection = this.host.findConnection(agent);
    if (!connection) return;
    const runs = indexes.map((index): [number, number] => [index, job.assign(index, agent)]);
    const incarnation = connection.view?.incarnation ?? '';
    const assignedAt = performance.now();
    runs.forEach(([index, run]) =>
      this.runs.add(agent, { job, index, run, incarnation, assignedAt }),
    );
    const queueFields = queueFieldsOf(job, this.host.queueing, assignedAt);
    void this.sendAssignment(job, connection, runs, { ...traits, ...queueFields });
  }

  private async sendAssignment(
    job: ActiveJob,
    connection: AgentConnection,
    runs: [number, number][],
    traits: AssignmentTraits,
  ): Promise<void> {
    const { request, route, step } = job;
    const { name } = connection;
    const queueTasks = this.countQueueRequests(connection, step.needs, runs.length);
    if (queueTasks > 0) connection.queueRequests.send(queueTasks);
    try {
      const {
        taken,
        queued = [],
        reason,
      } = await connection.assign({
        job: request.id,
        occurrence: 0,
        step: 0,
        service: route.service,
        route: route.name,
        spec: request.spec,
        needs: step.needs,
        label: step.label,
        maxPerWorker: step.maxPerWorker,
        estimateMs: step.estimateMs,
        ...traits,
        runs,
      });
      if (taken.length > 0) job.mayHaveRun = true;
      const declined = runs.filter(([index]) => !taken.includes(index) && !queued.includes(index));
      if (declined.length > 0) {
        this.host.log.info(
          { job: job.id, agent: name, declined: declined.length, reason },
          'declined',
        );
        connection.pausedUntil = performance.now() + DECLINE_PAUSE_MS;
        declined.forEach(([index, run]) => this.requeue(job, index, name, run));
      }
      // The job may have been removed while the assignment was under way. The runs that the agent has
      // admitted or queued are then abandoned now.
      if (!job.isOpen && taken.length + queued.length > 0) connection.abandon([job.id]);
    } catch (error) {
      this.handleAssignFailure(job, name, runs, error);
    } finally {
      if (queueTasks > 0) connection.queueRequests.settle(queueTasks);
    }
  }

  /** Number of tasks of an assignment that do not fit by this entry's view of the worker. */
  private countQueueRequests({ free }: AgentConnection, needs: Resources, tasks: number): number {
    return this.host.queueing ? Math.max(0, tasks - countFitting(needs, free)) : 0;
  }

  /**
   * Handles an assignment without an answer. After `notSent` the agent certainly received nothing,
   * and the tasks are queued again at once. After any other fault the runs may have started, and
   * their tasks are queued again when the loss of the agent is handled.
   */
  private handleAssignFailure(
    job: ActiveJob,
    agent: string,
    runs: [number, number][],
    error: unknown,
  ): void {
    const fault = error instanceof CallError ? error.fault : 'lost';
    const detail = error instanceof Error ? error.message : String(error);
    this.host.log.warn({ job: job.id, agent, runs: runs.length, fault, detail }, 'assign_failed');
    if (fault === 'notSent') runs.forEach(([index, run]) => this.requeue(job, index, agent, run));
    else job.mayHaveRun = true;
  }

  /** Queues the task of a run again when that run has certainly not started. */
  private requeue(job: ActiveJob, index: number, agent: string, run: number): void {
    this.runs.remove(agent, job.id, index);
    if (!job.isOpen || !job.isAssigned(index, agent, run)) return;
    job.requeue(index);
    this.add(job);
  }

  private expireRun(agent: string, outstanding: OutstandingRun): void {
    const { job, index, run } = outstanding;
    this.runs.removeDetached(outstanding);
    this.schedulePass();
    if (!job.isOpen || !job.isAssigned(index, agent, run)) return;
    // A task that was queued there may have been started too.
    job.mayHaveRun = true;
    this.applyEnd(job, index, agent, 'lapsed');
  }

  private applyEnd(job: ActiveJob, index: number, agent: string, end: RunEnd): void {
    const task = job.tasks[index];
    if (!task) return;
    match(end)
      .with('done', () => {
        job.markDone(index);
        if (job.isDone) job.settle({ type: 'completed' });
      })
      .with('failed', () => {
        task.failures += 1;
        task.avoidedAgents.add(agent);
        this.host.log.info({ job: job.id, index, agent, failures: task.failures }, 'task_failed');
        if (task.failures < job.route.attempts) this.requeueAfterEnd(job, index);
        else job.settle({ type: 'failed', reason: `task ${index} failed ${task.failures} times` });
      })
      .with('stalled', () => {
        task.avoidedAgents.add(agent);
        this.requeueAfterEnd(job, index);
      })
      .with('notRun', () => {
        job.raiseRunNumber(index);
        this.requeueAfterEnd(job, index);
      })
      .with('lapsed', () => {
        this.host.log.info({ job: job.id, index, agent, run: task.run }, 'task_lapsed');
        this.requeueAfterEnd(job, index);
      })
      .with('stopped', 'unqueued', () => this.requeueAfterEnd(job, index))
      .exhaustive();
  }

  private requeueAfterEnd(job: ActiveJob, index: number): void {
    job.requeue(index);
    this.add(job);
  }
}
