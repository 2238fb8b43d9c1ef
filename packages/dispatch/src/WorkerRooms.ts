import { QUEUE_CAPACITY_SHARE, countFitting, fits, scaleResources } from '@marjorammast/protocol';
import type { Resources, WorkerView } from '@marjorammast/protocol';
import type { AgentConnection } from './AgentConnection';
import { EQUAL_SLOWNESS_FACTOR } from './constants';
import type { Step } from './job';
import type { Candidate, Placement } from './placeTasks';
import type { QueueCandidate } from './placeWaitingTasks';

/** What placement needs to know of the entry and its data centres. */
export type RoomFilter = {
  /** Data centre of the entry. */
  dataCenter: string;
  /** Data centres whose agents get no tasks. */
  evacuatedDataCenters: readonly string[];
  /** Monotonic time, in milliseconds. */
  now: number;
};

type Room = {
  connection: AgentConnection;
  view: WorkerView;
  free: Resources;
  isLocal: boolean;
};

type ServiceWorker = { agent: string; view: WorkerView };

/** Chooses agents from a list of names. */
export type AgentChoice = (agents: readonly string[]) => readonly string[];

const canRun = ({ label, needs }: Step, { labels, capacity }: WorkerView): boolean =>
  fits(needs, capacity) && (!label || labels.includes(label));

/**
 * Free resources of the workers of one service during one dispatch pass. Load pattern: many waiting jobs
 * and many agents that are nearly all full. Each agent is looked at once, and a waiting job then costs
 * one comparison for each agent instead of a candidate.
 */
export class WorkerRooms {
  /** Chosen agents by what a step asks of a worker. */
  private readonly chosenAgents = new Map<string, ReadonlySet<string>>();

  private constructor(
    private readonly rooms: readonly Room[],
    /** All workers of the service that are not evacuated, also closed ones. */
    private readonly workers: readonly ServiceWorker[],
    /**
     * Slowness of the service's fast workers: the first quartile over its open workers, so that one
     * outlier does not decide.
     */
    readonly bestSlowness: number,
    /** Chooses the usable agents from those whose workers can run a step; all if absent. */
    private readonly choose?: AgentChoice,
    /** Names of agents that are used only when there are no others. */
    private readonly avoidedAgents: ReadonlySet<string> = new Set(),
  ) {}

  /**
   * @param connections - connections to all agents
   * @param service - the service
   * @param filter - what is known of the entry and its data centres
   * @returns the rooms of the service's workers
   */
  static create(
    connections: Iterable<AgentConnection>,
    service: string,
    { dataCenter, evacuatedDataCenters, now }: RoomFilter,
  ): WorkerRooms {
    const ofService = [...connections].flatMap((connection) => {
      const { view, agent } = connection;
      if (!view || view.service !== service) return [];
      return [{ connection, view, isLocal: agent.dataCenter === dataCenter }];
    });
    const slownessValues = ofService
      .filter(({ view }) => view.state === 'open')
      .map(({ view }) => view.slowness)
      .sort((a, b) => a - b);
    const bestSlowness = slownessValues[Math.floor(slownessValues.length / 4)] ?? 1;
    const inService = ofService.filter(
      ({ connection }) => !evacuatedDataCenters.includes(connection.agent.dataCenter),
    );
    const rooms = inService
      .filter(({ connection, view }) => view.state !== 'closed' && now >= connection.pausedUntil)
      .map((room) => ({ ...room, free: room.connection.free }));
    const workers = inService.map(({ connection, view }) => ({ agent: connection.name, view }));
    return new WorkerRooms(rooms, workers, bestSlowness);
  }

  /** Names of the agents of the service, also of those whose workers are closed. */
  get agents(): string[] {
    return this.workers.map(({ agent }) => agent);
  }

  /**
   * @param step - a step
   * @returns true when one of the workers that can run its tasks is not closed
   */
  hasWorkersFor(step: Step): boolean {
    const isChosen = this.choiceFor(step);
    return this.workers.some(
      ({ agent, view }) => isChosen(agent) && view.state !== 'closed' && canRun(step, view),
    );
  }

  /**
   * @param step - a step
   * @returns true when one of the fast workers that can run its tasks is open
   */
  hasFastWorkersFor(step: Step): boolean {
    const isChosen = this.choiceFor(step);
    return this.workers.some(
      ({ agent, view }) =>
        isChosen(agent) && view.state === 'open' && this.isFast(view) && canRun(step, view),
    );
  }

  /**
   * Free part of the processor capacity of the open fast workers, from 0 to 1. It is 1 when no open worker is slower,
   * since no task could be placed on a slower one instead.
   */
  get freeFastShare(): number {
    const open = this.workers.filter(({ view }) => view.state === 'open');
    const fast = open.filter(({ view }) => this.isFast(view));
    if (fast.length === open.length) return 1;
    const capacity = fast.reduce((sum, { view }) => sum + view.capacity.cpu, 0);
    const free = this.rooms
      .filter(({ view }) => view.state === 'open' && this.isFast(view))
      .reduce((sum, room) => sum + room.free.cpu, 0);
    return capacity > 0 ? free / capacity : 1;
  }

  /**
   * @param choose - chooses agents from those whose workers can run a step
   * @returns the rooms of the chosen agents alone
   */
  restrictTo(choose: AgentChoice): WorkerRooms {
    return new WorkerRooms(this.rooms, this.workers, this.bestSlowness, choose);
  }

  /**
   * @param agents - names of agents
   * @returns the same rooms, of which those of these agents are used only when there are no others
   */
  avoid(agents: readonly string[]): WorkerRooms {
    const avoidedAgents = new Set(agents);
    return new WorkerRooms(this.rooms, this.workers, this.bestSlowness, this.choose, avoidedAgents);
  }

  /**
   * Finds the workers that could run tasks of a step.
   *
   * @param step - the step
   * @param avoidedAgents - agents that are used only when there are no others
   * @param reservedTasks - number of fitting tasks that are left to other entries
   * @returns one candidate for each worker with room for a task
   */
  findCandidates(
    step: Step,
    avoidedAgents: ReadonlySet<string>,
    reservedTasks: number,
  ): Candidate[] {
    const isChosen = this.choiceFor(step);
    const usable = this.rooms.filter(
      ({ connection, free, view }) =>
        isChosen(connection.name) && fits(step.needs, free) && canRun(step, view),
    );
    const preferred = usable.filter(
      ({ connection: { name } }) => !avoidedAgents.has(name) && !this.avoidedAgents.has(name),
    );
    return (preferred.length > 0 ? preferred : usable).map((room) =>
      this.toCandidate(room, step, reservedTasks),
    );
  }

  /**
   * Finds the agents at which tasks of a step may wait for room.
   *
   * @param step - the step
   * @param avoidedAgents - agents that are not used
   * @param priority - priority of the job's route
   * @returns one candidate for each agent with a queue
   */
  findQueues(step: Step, avoidedAgents: ReadonlySet<string>, priority: number): QueueCandidate[] {
    const now = performance.now();
    const isChosen = this.choiceFor(step);
    const isAvoided = (name: string) => avoidedAgents.has(name) || this.avoidedAgents.has(name);
    return this.rooms.flatMap(({ connection: { name, queueRequests }, view }) => {
      const { queueMs, state, slowness } = view;
      const isUsable = isChosen(name) && !isAvoided(name) && state === 'open';
      if (queueMs === undefined || !isUsable || !canRun(step, view)) return [];
      const queueShare = scaleResources(view.capacity, QUEUE_CAPACITY_SHARE);
      const limit = Math.max(1, countFitting(step.needs, queueShare));
      const queueTasks = queueRequests.remainingTasks(limit, priority, now);
      return queueTasks > 0 ? [{ agent: name, slowness, queueMs, queueTasks }] : [];
    });
  }

  /**
   * Places tasks that are bound to one agent. Neither the speed of its worker nor the confinement of the route
   * matters, since there is no other.
   *
   * @param agent - name of the agent
   * @param step - step of the tasks
   * @param count - number of the tasks
   * @returns the placement, if there is room for a task
   */
  placeAt(agent: string, step: Step, count: number): Placement[] {
    const room = this.rooms.find(({ connection }) => connection.name === agent);
    if (!room || !canRun(step, room.view)) return [];
    const placedCount = Math.min(count, this.toCandidate(room, step, 0).fittingTasks);
    return placedCount > 0 ? [{ agent, count: placedCount }] : [];
  }

  /**
   * Updates the free resources of a worker after an assignment.
   *
   * @param agent - name of its agent
   */
  refresh(agent: string): void {
    const room = this.rooms.find(({ connection }) => connection.name === agent);
    if (room) room.free = room.connection.free;
  }

  private isFast({ slowness }: WorkerView): boolean {
    return slowness <= this.bestSlowness * EQUAL_SLOWNESS_FACTOR;
  }

  /** Returns whether an agent is among those chosen for a step. */
  private choiceFor(step: Step): (agent: string) => boolean {
    if (!this.choose) return () => true;
    const key = JSON.stringify([step.label, step.needs]);
    const chosen = this.chosenAgents.get(key) ?? new Set(this.choose(this.findAgentsFor(step)));
    this.chosenAgents.set(key, chosen);
    return (agent) => chosen.has(agent);
  }

  private findAgentsFor(step: Step): string[] {
    return this.workers.filter(({ view }) => canRun(step, view)).map(({ agent }) => agent);
  }

  private toCandidate(
    { connection, view, free, isLocal }: Room,
    step: Step,
    reservedTasks: number,
  ): Candidate {
    const limit = step.maxPerWorker > 0 ? step.maxPerWorker : Infinity;
    const unreservedTasks = Math.max(0, countFitting(step.needs, free) - reservedTasks);
    return {
      agent: connection.name,
      isLocal,
      isNearData: !step.nearRack || view.labels.includes(step.nearRack),
      fittingTasks: view.state === 'trial' ? 1 : Math.min(unreservedTasks, limit),
      slowness: view.slowness,
    };
  }
}
