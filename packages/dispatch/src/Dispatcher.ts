import { match } from 'ts-pattern';
import { CallError, countFitting } from '@marjorammast/protocol';
import type { Params, RunEnd } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { ActiveJob } from './ActiveJob';
import type { AgentConnection } from './AgentConnection';
import {
  DECLINE_PAUSE_MS,
  LATE_FACTOR,
  MIN_RETRY_AFTER_MS,
  NO_WORKERS_RETRY_MS,
  QUEUE_CHECK_MS,
  RUN_LAPSE_MS,
} from './constants';
import type { JobOutcome } from './job';
import { placeTasks } from './placeTasks';
import type { Candidate, Placement } from './placeTasks';

/** What the dispatcher needs of the entry. */
export type DispatcherHost = {
  dataCenter: string;
  connections: () => Iterable<AgentConnection>;
  findConnection: (agent: string) => AgentConnection | undefined;
  /** Data centres that get nothing. */
  outDataCenters: () => readonly string[];
  log: Log;
};

/** A run that an agent has been asked for and that has not ended. */
type OpenRun = { job: ActiveJob; index: number; run: number };

/** Brings the tasks of accepted jobs to agents and their ends back to the jobs. */
export class Dispatcher {
  /** Jobs with waiting tasks. */
  private readonly queue = new Set<ActiveJob>();

  private readonly runsByAgent = new Map<string, Map<string, OpenRun>>();

  private isScheduled = false;

  private checkTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly host: DispatcherHost) {}

  /**
   * @param host - what the dispatcher needs of the entry
   * @returns a dispatcher without jobs
   */
  static create(host: DispatcherHost): Dispatcher {
    return new Dispatcher(host);
  }

  /** Number of jobs with waiting tasks. */
  get queued(): number {
    return this.queue.size;
  }

  /** Number of runs that have not ended. */
  get running(): number {
    return [...this.runsByAgent.values()].reduce((sum, runs) => sum + runs.size, 0);
  }

  /**
   * @param agent - name of an agent
   * @returns true while the agent has been asked for runs that have not ended
   */
  hasRuns(agent: string): boolean {
    return (this.runsByAgent.get(agent)?.size ?? 0) > 0;
  }

  /**
   * Starts a job's tasks as soon as there is room.
   *
   * @param job - the job
   */
  add(job: ActiveJob): void {
    this.queue.add(job);
    this.schedule();
  }

  /**
   * Ends the work on a job that was answered or that nobody wants any more.
   *
   * @param job - the job
   */
  drop(job: ActiveJob): void {
    this.queue.delete(job);
    job.agents.forEach((agent) => {
      this.host.findConnection(agent)?.abandon([job.id]);
      job.tasks.forEach(({ state }, index) => {
        if (state.type === 'assigned' && state.agent === agent) this.forget(agent, job, index);
      });
    });
  }

  /** Looks for room soon, once for many calls in the same turn of the event loop. */
  schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    // After the poll phase: a client that has left while the VM stood still is noticed first.
    setImmediate(() => {
      this.isScheduled = false;
      this.dispatch();
    });
  }

  /**
   * Takes ends of runs from an agent.
   *
   * @param agent - the agent
   * @param rows - job, task, run, how it ended, time in milliseconds
   */
  takeEnds(agent: string, rows: Params<'ended'>['runs']): void {
    rows.forEach(([jobId, index, run, how]) => {
      const open = this.runsByAgent.get(agent)?.get(`${jobId}#${index}`);
      if (open?.run !== run) return;
      this.forget(agent, open.job, index);
      if (open.job.isOpen && open.job.isAssigned(index, agent, run)) {
        this.takeEnd(open.job, index, agent, how);
      }
    });
    this.schedule();
  }

  /**
   * Puts the runs of a lost agent back in line once they have certainly ended.
   *
   * @param agent - the agent
   */
  lose(agent: string): void {
    const runs = [...(this.runsByAgent.get(agent)?.values() ?? [])];
    this.runsByAgent.delete(agent);
    if (runs.length === 0) return;
    this.host.log.warn({ agent, runs: runs.length, lapseMs: RUN_LAPSE_MS }, 'runs_lapsing');
    setTimeout(() => runs.forEach((open) => this.takeLapse(agent, open)), RUN_LAPSE_MS);
  }

  /** Stops looking for room. */
  halt(): void {
    clearTimeout(this.checkTimer);
    this.queue.clear();
  }

  private dispatch(): void {
    clearTimeout(this.checkTimer);
    if (this.queue.size === 0) return;
    const connections = [...this.host.connections()];
    const bestByService = new Map<string, number>();
    const bestOf = (service: string) => {
      const known = bestByService.get(service) ?? this.fastSlowness(connections, service);
      bestByService.set(service, known);
      return known;
    };
    this.order(bestOf).forEach((job) => this.place(job, connections, bestOf(job.route.service)));
    if (this.queue.size > 0) {
      this.checkTimer = setTimeout(() => this.dispatch(), QUEUE_CHECK_MS);
    }
  }

  /** Jobs that can meet their objective first; then by priority, then by objective. */
  private order(bestOf: (service: string) => number): ActiveJob[] {
    const now = performance.now();
    return [...this.queue]
      .map((job) => {
        const slowness = bestOf(job.route.service);
        const { objectiveAt } = job;
        return { job, objectiveAt, isLost: now + job.step.estimateMs * slowness > objectiveAt };
      })
      .sort(
        (a, b) =>
          Number(a.isLost) - Number(b.isLost) ||
          a.job.route.priority - b.job.route.priority ||
          a.objectiveAt - b.objectiveAt,
      )
      .map(({ job }) => job);
  }

  /** Slowness that a quarter of the service's workers reach: one odd worker does not decide. */
  private fastSlowness(connections: readonly AgentConnection[], service: string): number {
    const values = connections
      .flatMap(({ view }) =>
        view && view.service === service && view.state === 'open' ? [view.slowness] : [],
      )
      .sort((a, b) => a - b);
    return values[Math.floor(values.length / 4)] ?? 1;
  }

  private place(
    job: ActiveJob,
    connections: readonly AgentConnection[],
    bestSlowness: number,
  ): void {
    const now = performance.now();
    const { step, objectiveAt } = job;
    const refusal = job.isTouched ? undefined : this.refuse(job, connections, bestSlowness);
    if (refusal) {
      job.settle(refusal);
      return;
    }
    const goal = { estimateMs: step.estimateMs, slackMs: objectiveAt - now, bestSlowness };
    this.groups(job).forEach(({ indexes, avoid }) => {
      const candidates = this.candidates(job, connections, avoid);
      const placements = placeTasks(candidates, { ...goal, count: indexes.length });
      let next = 0;
      placements.forEach((placement) => {
        this.assign(job, placement, indexes.slice(next, next + placement.count), bestSlowness);
        next += placement.count;
      });
    });
    if (job.waiting.length === 0) this.queue.delete(job);
  }

  /** Gives up a job of which nothing was started and that can no longer be of use. */
  private refuse(
    job: ActiveJob,
    connections: readonly AgentConnection[],
    bestSlowness: number,
  ): JobOutcome | undefined {
    const now = performance.now();
    const { step, route, arrivedAt, deadlineAt } = job;
    const spanMs = job.objectiveAt - arrivedAt;
    const lastStart =
      Math.min(deadlineAt, arrivedAt + LATE_FACTOR * spanMs) - step.estimateMs * bestSlowness;
    if (now > lastStart) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, step.estimateMs);
      return { type: 'refused', reason: 'noRoom', retryAfterMs };
    }
    const hasWorkers = connections.some(
      ({ view }) => view?.service === route.service && view.state !== 'closed',
    );
    if (hasWorkers || now < arrivedAt + spanMs / 4) return undefined;
    return { type: 'refused', reason: 'noWorkers', retryAfterMs: NO_WORKERS_RETRY_MS };
  }

  /** Waiting tasks, those that have failed somewhere one by one. */
  private groups(job: ActiveJob): { indexes: number[]; avoid: ReadonlySet<string> }[] {
    const { waiting } = job;
    const tasks = waiting.map((index) => ({ index, avoid: job.tasks[index]?.avoid ?? new Set() }));
    const fresh = tasks.filter(({ avoid }) => avoid.size === 0).map(({ index }) => index);
    const retried = tasks.filter(({ avoid }) => avoid.size > 0);
    return [
      ...retried.map(({ index, avoid }) => ({ indexes: [index], avoid })),
      ...(fresh.length > 0 ? [{ indexes: fresh, avoid: new Set<string>() }] : []),
    ];
  }

  private candidates(
    { route, step }: ActiveJob,
    connections: readonly AgentConnection[],
    avoid: ReadonlySet<string>,
  ): Candidate[] {
    const now = performance.now();
    const out = this.host.outDataCenters();
    const usable = connections.flatMap((connection): Candidate[] => {
      const { view, listed, pausedUntil } = connection;
      if (!view || view.state === 'closed' || view.service !== route.service) return [];
      if (now < pausedUntil || out.includes(listed.dataCenter)) return [];
      if (step.label && !view.labels.includes(step.label)) return [];
      const room = countFitting(step.needs, connection.free);
      const limit = step.maxPerWorker > 0 ? step.maxPerWorker : Infinity;
      return [
        {
          agent: listed.name,
          isLocal: listed.dataCenter === this.host.dataCenter,
          isNear: !step.nearRack || view.labels.includes(step.nearRack),
          fitting: Math.min(room, limit, view.state === 'trial' ? 1 : Infinity),
          slowness: view.slowness,
        },
      ];
    });
    const others = usable.filter(({ agent }) => !avoid.has(agent));
    return others.length > 0 ? others : usable;
  }

  private assign(
    job: ActiveJob,
    { agent }: Placement,
    indexes: readonly number[],
    bestSlowness: number,
  ): void {
    const connection = this.host.findConnection(agent);
    if (!connection) return;
    const runs = indexes.map((index): [number, number] => [index, job.assign(index, agent)]);
    runs.forEach(([index, run]) => this.remember(agent, { job, index, run }));
    void this.send(job, connection, runs, bestSlowness);
  }

  private async send(
    job: ActiveJob,
    connection: AgentConnection,
    runs: [number, number][],
    bestSlowness: number,
  ): Promise<void> {
    const { request, route, step } = job;
    const { name } = connection;
    try {
      const { taken, reason } = await connection.assign({
        job: request.id,
        occurrence: 0,
        step: 0,
        service: route.service,
        spec: request.spec,
        needs: step.needs,
        label: step.label,
        maxPerWorker: step.maxPerWorker,
        estimateMs: step.estimateMs,
        bestSlowness,
        runs,
      });
      if (taken.length > 0) job.mayHaveRun = true;
      const declined = runs.filter(([index]) => !taken.includes(index));
      if (declined.length > 0) {
        this.host.log.info(
          { job: job.id, agent: name, declined: declined.length, reason },
          'declined',
        );
        connection.pausedUntil = performance.now() + DECLINE_PAUSE_MS;
        declined.forEach(([index, run]) => this.putBack(job, index, name, run));
      }
      // A job that was dropped meanwhile did not know of these runs.
      if (!job.isOpen && taken.length > 0) connection.abandon([job.id]);
    } catch (error) {
      this.takeFault(job, name, runs, error);
    }
  }

  /** After a certain `notSent` the tasks wait again; otherwise the loss of the agent decides. */
  private takeFault(job: ActiveJob, agent: string, runs: [number, number][], error: unknown): void {
    const fault = error instanceof CallError ? error.fault : 'lost';
    const detail = error instanceof Error ? error.message : String(error);
    this.host.log.warn({ job: job.id, agent, runs: runs.length, fault, detail }, 'assign_failed');
    if (fault === 'notSent') runs.forEach(([index, run]) => this.putBack(job, index, agent, run));
    else job.mayHaveRun = true;
  }

  private putBack(job: ActiveJob, index: number, agent: string, run: number): void {
    this.forget(agent, job, index);
    if (!job.isOpen || !job.isAssigned(index, agent, run)) return;
    job.requeue(index);
    this.add(job);
  }

  private takeLapse(agent: string, { job, index, run }: OpenRun): void {
    if (job.isOpen && job.isAssigned(index, agent, run)) this.takeEnd(job, index, agent, 'lapsed');
  }

  private takeEnd(job: ActiveJob, index: number, agent: string, how: RunEnd): void {
    const task = job.tasks[index];
    if (!task) return;
    match(how)
      .with('done', () => {
        job.finish(index);
        if (job.isDone) job.settle({ type: 'completed' });
      })
      .with('failed', () => {
        task.failures += 1;
        task.avoid.add(agent);
        this.host.log.info({ job: job.id, index, agent, failures: task.failures }, 'task_failed');
        if (task.failures < job.route.attempts) this.retry(job, index);
        else job.settle({ type: 'failed', reason: `task ${index} failed ${task.failures} times` });
      })
      .with('stalled', () => {
        task.avoid.add(agent);
        this.retry(job, index);
      })
      .with('notRun', () => {
        job.skipRuns(index);
        this.retry(job, index);
      })
      .with('stopped', 'lapsed', () => this.retry(job, index))
      .exhaustive();
  }

  private retry(job: ActiveJob, index: number): void {
    job.requeue(index);
    this.add(job);
  }

  private remember(agent: string, open: OpenRun): void {
    const runs = this.runsByAgent.get(agent) ?? new Map<string, OpenRun>();
    runs.set(`${open.job.id}#${open.index}`, open);
    this.runsByAgent.set(agent, runs);
  }

  private forget(agent: string, job: ActiveJob, index: number): void {
    const runs = this.runsByAgent.get(agent);
    runs?.delete(`${job.id}#${index}`);
  }
}
