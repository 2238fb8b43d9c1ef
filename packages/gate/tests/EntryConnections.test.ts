import * as fc from 'fast-check';
import { createLog } from '@marjorammast/telemetry';
import type { Link, WorkerView } from '@marjorammast/protocol';
import { ENTRY_TIMEOUT_MS } from '../src/constants';
import { EntryConnections } from '../src/EntryConnections';

const CAPACITY = { cpu: 16_000, memoryMb: 32_000, accelerators: 0 };

const TASK = { cpu: 2_500, memoryMb: 64, accelerators: 0 };

const ENTRIES = 14;

/** Connections of several entries, whose messages are counted. */
const createFixture = () => {
  const counts = { view: 0, ended: 0, rules: 0 } as Record<string, number>;
  const closeListeners = new Map<Link, () => void>();
  const fixture = { free: CAPACITY, owners: new Set<string>(), counts, closed: [] as string[] };
  const createLink = (name: string): Link => {
    const link = {
      name,
      notify: (method: string) => {
        counts[method] = (counts[method] ?? 0) + 1;
      },
      onClose: (listener: () => void) => closeListeners.set(link, listener),
      close: () => {
        fixture.closed.push(name);
        closeListeners.get(link)?.();
      },
    } as unknown as Link;
    return link;
  };
  const view = (): WorkerView => ({
    service: 'desk',
    labels: [],
    capacity: CAPACITY,
    free: fixture.free,
    state: 'open',
    reason: '',
    slowness: 1,
    incarnation: 'i-1@1',
  });
  const connections = EntryConnections.create({
    view,
    ownersOfRuns: () => fixture.owners,
    onDetached: () => 0,
    log: createLog('connections', 'silent'),
  });
  const links = Array.from({ length: ENTRIES }, (_, index) => createLink(`entry-${index}`));
  links.forEach((link) => connections.add(link.name, link));
  return Object.assign(fixture, { connections, links });
};

describe('EntryConnections', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // The load: tasks start and end on a worker several times a second, for one of many entries. A view of
  // each change to each entry would be 14 times 200 messages in ten seconds.
  it('sends entries that do not use a busy worker at most one view a second', async () => {
    const fixture = createFixture();
    const { connections, links, counts } = fixture;
    const [active] = links;
    await fc.assert(
      fc.asyncProperty(fc.array(fc.nat(6), { minLength: 200, maxLength: 200 }), async (levels) => {
        counts['view'] = 0;
        await levels.reduce(async (previous, level) => {
          await previous;
          fixture.free = { ...CAPACITY, cpu: CAPACITY.cpu - level * TASK.cpu };
          if (active) connections.recordAssignment(active, TASK, false);
          connections.handleChange();
          await jest.advanceTimersByTimeAsync(50);
        }, Promise.resolve());
        expect(counts['view']).toBeLessThanOrEqual((ENTRIES - 1) * 11 + 100);
      }),
      { numRuns: 5, seed: 1 },
    );
    connections.closeAll();
  });

  it('arms no timer while no entry has runs and nothing changes', async () => {
    const { connections } = createFixture();
    await jest.advanceTimersByTimeAsync(2_000);
    expect(jest.getTimerCount()).toBe(0);
    connections.closeAll();
  });

  it('closes the connection of an entry with runs once it is silent for 500 ms, and no other', async () => {
    const fixture = createFixture();
    const { connections, links, owners, closed } = fixture;
    const [silent, renewing] = links;
    if (!silent || !renewing) return;
    owners.add(connections.idOf(silent)).add(connections.idOf(renewing));
    connections.recordAssignment(silent, TASK, false);
    connections.recordAssignment(renewing, TASK, false);
    await jest.advanceTimersByTimeAsync(300);
    connections.recordContact(renewing);
    await jest.advanceTimersByTimeAsync(190);
    expect(closed).toEqual([]);
    await jest.advanceTimersByTimeAsync(30);
    expect(closed).toEqual([silent.name]);
    connections.closeAll();
  });

  it('does not take an entry for silent that has renewed while the agent was paused', async () => {
    jest.useRealTimers();
    const { connections, links, owners, closed } = createFixture();
    const [entry] = links;
    if (!entry) return;
    owners.add(connections.idOf(entry));
    connections.recordAssignment(entry, TASK, false);
    await new Promise<void>((resolve) => {
      setImmediate(() => {
        setImmediate(() => connections.recordContact(entry));
        const pausedUntil = performance.now() + ENTRY_TIMEOUT_MS + 50;
        while (performance.now() < pausedUntil);
        setTimeout(resolve, 50);
      });
    });
    expect(closed).toEqual([]);
    connections.closeAll();
  });
});
