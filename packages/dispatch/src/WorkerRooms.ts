import { countFitting, fits } from '@marjorammast/protocol';
import type { Resources, WorkerView } from '@marjorammast/protocol';
import type { AgentConnection } from './AgentConnection';
import type { Step } from './job';
import type { Candidate } from './placeTasks';

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

/**
 * Free resources of the workers of one service during one dispatch pass. Load pattern: many waiting jobs
 * and many agents that are nearly all full. Each agent is looked at once, and a waiting job then costs
 * one comparison for each agent instead of a candidate.
 */
export class WorkerRooms {
  private constructor(
    private readonly rooms: readonly Room[],
    /** Names of all agents of the service, also of those whose workers are closed. */
    readonly agents: readonly string[],
    /** Names of the agents whose workers are not closed. */
    private readonly openAgents: readonly string[],
    /**
     * Slowness of the service's fast workers: the first quartile over its open workers, so that one
     * outlier does not decide.
     */
    readonly bestSlowness: number,
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
    const notClosed = ofService.filter(({ view }) => view.state !== 'closed');
    const slownessValues = notClosed
      .filter(({ view }) => view.state === 'open')
      .map(({ view }) => view.slowness)
      .sort((a, b) => a - b);
    const rooms = notClosed
      .filter(
        ({ connection: { agent, pausedUntil } }) =>
          now >= pausedUntil && !evacuatedDataCenters.includes(agent.dataCenter),
      )
      .map((room) => ({ ...room, free: room.connection.free }));
    const bestSlowness = slownessValues[Math.floor(slownessValues.length / 4)] ?? 1;
    const namesOf = (list: typeof ofService) => list.map(({ connection }) => connection.name);
    return new WorkerRooms(rooms, namesOf(ofService), namesOf(notClosed), bestSlowness);
  }

  /** True when one of the workers is not closed. */
  get hasWorkers(): boolean {
    return this.openAgents.length > 0;
  }

  /**
   * @param agents - names of agents
   * @returns the rooms of these agents alone
   */
  restrictTo(agents: readonly string[]): WorkerRooms {
    const allowed = new Set(agents);
    return new WorkerRooms(
      this.rooms.filter(({ connection }) => allowed.has(connection.name)),
      agents,
      this.openAgents.filter((agent) => allowed.has(agent)),
      this.bestSlowness,
    );
  }

  /**
   * @param agents - names of agents
   * @returns the same rooms, of which those of these agents are used only when there are no others
   */
  avoid(agents: readonly string[]): WorkerRooms {
    return new WorkerRooms(
      this.rooms,
      this.agents,
      this.openAgents,
      this.bestSlowness,
      new Set(agents),
    );
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
    const usable = this.rooms.filter(
      ({ free, view }) =>
        fits(step.needs, free) && (!step.label || view.labels.includes(step.label)),
    );
    const preferred = usable.filter(
      ({ connection: { name } }) => !avoidedAgents.has(name) && !this.avoidedAgents.has(name),
    );
    return (preferred.length > 0 ? preferred : usable).map((room) =>
      this.toCandidate(room, step, reservedTasks),
    );
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
