import type { WorkerView } from '@marjorammast/protocol';
import type { AgentConnection } from '../src/AgentConnection';
import { RESERVED_TASKS } from '../src/constants';
import { placeTasks } from '../src/placeTasks';
import { WorkerRooms } from '../src/WorkerRooms';

const NEEDS = { cpu: 2_500, memoryMb: 64, accelerators: 0 };

const step = (count: number) => ({
  count,
  needs: NEEDS,
  estimateMs: 86,
  after: [],
  maxPerWorker: 0,
  traits: [],
});

const createConnection = (
  name: string,
  fittingTasks: number,
  fields: Partial<WorkerView> = {},
): AgentConnection => {
  const free = { cpu: fittingTasks * NEEDS.cpu, memoryMb: 32_000, accelerators: 0 };
  const defaults = { service: 'desk', labels: [], state: 'open', slowness: 1 };
  const capacity = { ...free, cpu: 8 * NEEDS.cpu };
  const view = { ...defaults, capacity, free, ...fields };
  const agent = { name, address: '', dataCenter: 'north' };
  return { name, agent, view, free, pausedUntil: 0 } as unknown as AgentConnection;
};

const filter = { dataCenter: 'north', evacuatedDataCenters: [], now: 0 };

const roomsOf = (connections: readonly AgentConnection[]) =>
  WorkerRooms.create(connections, 'desk', filter);

describe('WorkerRooms', () => {
  it('leaves out workers of other services, closed, paused, evacuated and full ones', () => {
    const paused = createConnection('paused', 4);
    paused.pausedUntil = 10;
    const rooms = WorkerRooms.create(
      [
        createConnection('open', 4),
        createConnection('other', 4, { service: 'other' }),
        createConnection('closed', 4, { state: 'closed' }),
        createConnection('full', 0),
        paused,
      ],
      'desk',
      filter,
    );
    const names = rooms.findCandidates(step(1), new Set(), 0).map(({ agent }) => agent);
    expect(names).toEqual(['open']);
    const evacuated = { ...filter, evacuatedDataCenters: ['north'] };
    const others = WorkerRooms.create([createConnection('open', 4)], 'desk', evacuated);
    expect(others.findCandidates(step(1), new Set(), 0)).toEqual([]);
  });

  // The load: many agents and a waiting job of a confined route, which is looked at in each pass.
  it('describes a step once for each look at the agents of a confined route, not for each agent', () => {
    const connections = Array.from({ length: 160 }, (_, index) =>
      createConnection(`agent-${index}`, 4),
    );
    const rooms = roomsOf(connections).restrictTo((agents) => agents.slice(0, 40));
    const stringify = jest.spyOn(JSON, 'stringify');
    expect(rooms.findCandidates(step(8), new Set(), 0)).toHaveLength(40);
    expect(stringify).toHaveBeenCalledTimes(1);
    stringify.mockRestore();
  });

  it('has workers for a step while one that can run its tasks is not closed', () => {
    const small = { ...NEEDS, cpu: NEEDS.cpu - 1 };
    const rooms = roomsOf([
      createConnection('full', 0, { labels: ['gpu'] }),
      createConnection('small', 0, { capacity: small, labels: ['ssd'] }),
      createConnection('closed', 4, { state: 'closed', labels: ['arm'] }),
    ]);
    const labels = [undefined, 'gpu', 'ssd', 'arm'];
    const answers = labels.map((label) => rooms.hasWorkersFor({ ...step(1), label }));
    expect(answers).toEqual([true, true, false, false]);
    const evacuated = { ...filter, evacuatedDataCenters: ['north'] };
    const others = WorkerRooms.create([createConnection('open', 4)], 'desk', evacuated);
    expect(others.hasWorkersFor(step(1))).toBe(false);
  });

  it('tells the free part of the open fast workers, if there are slower ones', () => {
    const fast = [createConnection('half', 4), createConnection('full', 0)];
    const closed = createConnection('closed', 8, { state: 'closed' });
    const slow = createConnection('slow', 8, { slowness: 2, labels: ['gpu'] });
    expect(roomsOf([...fast, closed, slow]).freeFastShare).toBe(0.25);
    expect(roomsOf([...fast, closed]).freeFastShare).toBe(1);
    expect(roomsOf([]).freeFastShare).toBe(1);
  });

  it('has fast workers for a step while one that can run its tasks is open', () => {
    const rooms = roomsOf([
      createConnection('full', 0),
      createConnection('closed', 8, { state: 'closed', labels: ['arm'] }),
      createConnection('slow', 8, { slowness: 2, labels: ['gpu'] }),
    ]);
    const labels = [undefined, 'gpu', 'arm'];
    const answers = labels.map((label) => rooms.hasFastWorkersFor({ ...step(1), label }));
    expect(answers).toEqual([true, false, false]);
  });

  it('offers a worker on trial one task, whatever is reserved', () => {
    const rooms = roomsOf([createConnection('trial', 6, { state: 'trial' })]);
    expect(rooms.findCandidates(step(4), new Set(), RESERVED_TASKS)).toMatchObject([
      { fittingTasks: 1 },
    ]);
  });

  // The load: wide jobs of several entries at the same time, on workers of which each has room for a few
  // tasks. An entry that fills what it sees is declined wherever another one was a moment earlier.
  it('has fewer tasks declined at workers that other entries use unseen', () => {
    const countDeclined = (reservedTasks: number): number => {
      const actual = new Map(Array.from({ length: 20 }, (_, index) => [`w-${index}`, 4]));
      const seen = [...actual].map(([name, tasks]) => createConnection(name, tasks));
      actual.forEach((tasks, name) => actual.set(name, tasks - (Number(name.slice(2)) % 2)));
      const candidates = roomsOf(seen).findCandidates(step(8), new Set(), reservedTasks);
      const goal = { count: 8, estimateMs: 86, slackMs: 200, bestSlowness: 1 };
      return placeTasks(candidates, goal, () => 0.5).reduce(
        (declined, { agent, count }) => declined + Math.max(0, count - (actual.get(agent) ?? 0)),
        0,
      );
    };
    expect(countDeclined(0)).toBeGreaterThan(0);
    expect(countDeclined(RESERVED_TASKS)).toBe(0);
  });
});
