import type { AgentConnection } from '../src/AgentConnection';
import { createRoomFinder } from '../src/createRoomFinder';
import { RouteConfinement } from '../src/RouteConfinement';
import { WorkerRooms } from '../src/WorkerRooms';
import { testRoute } from './support';

const NEEDS = { cpu: 1_000, memoryMb: 10, accelerators: 0 };

const step = { count: 1, needs: NEEDS, estimateMs: 86, after: [], maxPerWorker: 0, traits: [] };

const AGENTS = Array.from({ length: 8 }, (_, index) => `agent-${index}`);

const filter = { dataCenter: 'one', evacuatedDataCenters: [], now: 0 };

const createConnection = (name: string, tasks: number, state = 'open'): AgentConnection => {
  const free = { ...NEEDS, cpu: tasks * NEEDS.cpu };
  const view = { service: 'desk', labels: [], free, state, slowness: 1 };
  const agent = { name, address: '', dataCenter: 'one' };
  return { name, agent, view, free, pausedUntil: 0 } as unknown as AgentConnection;
};

const lookups = { ...testRoute, name: 'lookups' };

/** Creates a room finder while the route of the tests is confined. */
const createFixture = (createAgent: (name: string, isConfined: boolean) => AgentConnection) => {
  const confinement = RouteConfinement.create();
  confinement.confine(testRoute);
  const confined = confinement.chooseAgents(testRoute.name, AGENTS);
  const agents = AGENTS.map((name) => createAgent(name, confined.includes(name)));
  const findRooms = (service: string) => WorkerRooms.create(agents, service, filter);
  const roomsOf = createRoomFinder(findRooms, confinement);
  const candidatesOf = (route: typeof testRoute) =>
    roomsOf(route)
      .findCandidates(step, new Set(), 0)
      .map(({ agent }) => agent);
  return { confined, roomsOf, candidatesOf };
};

describe('createRoomFinder', () => {
  it('gives a confined route its part of the workers, and the others the rest', () => {
    const { confined, candidatesOf } = createFixture((name) => createConnection(name, 4));
    expect(candidatesOf(testRoute).sort()).toEqual([...confined].sort());
    expect(candidatesOf(lookups)).toEqual(AGENTS.filter((name) => !confined.includes(name)));
  });

  it('gives the others that part too while there is no room elsewhere', () => {
    const { confined, candidatesOf } = createFixture((name, isConfined) =>
      createConnection(name, isConfined ? 4 : 0),
    );
    expect(candidatesOf(lookups).sort()).toEqual([...confined].sort());
  });

  it('says that a confined route has no workers while all of its part are closed', () => {
    const { roomsOf } = createFixture((name, isConfined) =>
      createConnection(name, 4, isConfined ? 'closed' : 'open'),
    );
    expect(roomsOf(testRoute).hasWorkers).toBe(false);
    expect(roomsOf(lookups).hasWorkers).toBe(true);
  });
});
