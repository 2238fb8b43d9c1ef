import type { WorkerView } from '@marjorammast/protocol';
import type { AgentConnection } from '../src/AgentConnection';
import { CONFINED_SHARE } from '../src/constants';
import { createRoomFinder } from '../src/createRoomFinder';
import type { Step } from '../src/job';
import { RouteConfinement } from '../src/RouteConfinement';
import { WorkerRooms } from '../src/WorkerRooms';
import { testRoute } from './support';

const NEEDS = { cpu: 1_000, memoryMb: 10, accelerators: 0 };

const step: Step = {
  count: 1,
  needs: NEEDS,
  estimateMs: 86,
  after: [],
  maxPerWorker: 0,
  traits: [],
};

const AGENTS = Array.from({ length: 8 }, (_, index) => `agent-${index}`);

const createConnection = (
  name: string,
  tasks: number,
  fields: Partial<WorkerView> = {},
  dataCenter = 'one',
): AgentConnection => {
  const free = { ...NEEDS, cpu: tasks * NEEDS.cpu };
  const capacity = { ...NEEDS, cpu: 4 * NEEDS.cpu };
  const defaults = { service: 'desk', labels: [], state: 'open', slowness: 1 };
  const view = { ...defaults, capacity, free, ...fields };
  const agent = { name, address: '', dataCenter };
  return { name, agent, view, free, pausedUntil: 0 } as unknown as AgentConnection;
};

const lookups = { ...testRoute, name: 'lookups' };

/** Creates a room finder while the route of the tests is confined. */
const createFixture = (
  createAgent: (name: string, isConfined: boolean) => AgentConnection,
  evacuatedDataCenters: string[] = [],
) => {
  const filter = { dataCenter: 'one', evacuatedDataCenters, now: 0 };
  const confinement = RouteConfinement.create();
  confinement.confine(testRoute);
  const confined = confinement.chooseAgents(testRoute.name, AGENTS);
  const agents = AGENTS.map((name) => createAgent(name, confined.includes(name)));
  const findRooms = (service: string) => WorkerRooms.create(agents, service, filter);
  const roomsOf = createRoomFinder(findRooms, confinement);
  const candidatesOf = (route: typeof testRoute, fields: Partial<Step> = {}) =>
    roomsOf(route)
      .findCandidates({ ...step, ...fields }, new Set(), 0)
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
      createConnection(name, 4, { state: isConfined ? 'closed' : 'open' }),
    );
    expect(roomsOf(testRoute).hasWorkersFor(step)).toBe(false);
    expect(roomsOf(lookups).hasWorkersFor(step)).toBe(true);
  });

  // Guards against a confined route that is left without workers that can run its tasks.
  it.each<[string, Partial<Step>, (isConfined: boolean) => Partial<WorkerView>]>([
    ['a label', { label: 'gpu' }, (isConfined) => ({ labels: isConfined ? [] : ['gpu'] })],
    [
      'large tasks',
      { needs: { ...NEEDS, cpu: 2_000 } },
      (isConfined) => (isConfined ? { capacity: NEEDS, free: NEEDS } : {}),
    ],
  ])('confines a route with %s to workers that can run them', (_, stepFields, fieldsOf) => {
    const { confined, roomsOf, candidatesOf } = createFixture((name, isConfined) =>
      createConnection(name, 4, fieldsOf(isConfined)),
    );
    const candidates = candidatesOf(testRoute, stepFields);
    expect(candidates).toHaveLength(Math.ceil((AGENTS.length - confined.length) * CONFINED_SHARE));
    expect(confined.some((agent) => candidates.includes(agent))).toBe(false);
    expect(roomsOf(testRoute).hasWorkersFor({ ...step, ...stepFields })).toBe(true);
  });

  it('confines a route to workers that are not evacuated', () => {
    const { confined, candidatesOf } = createFixture(
      (name, isConfined) => createConnection(name, 4, {}, isConfined ? 'two' : 'one'),
      ['two'],
    );
    const candidates = candidatesOf(testRoute);
    expect(candidates).toHaveLength(Math.ceil((AGENTS.length - confined.length) * CONFINED_SHARE));
    expect(confined.some((agent) => candidates.includes(agent))).toBe(false);
  });
});
