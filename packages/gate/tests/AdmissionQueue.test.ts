import { AdmissionQueue } from '../src/AdmissionQueue';
import type { StartDecision, WaitingTask } from '../src/AdmissionQueue';

const needsOf = (cpu: number) => ({ cpu, memoryMb: 0, accelerators: 0 });

/** Capacity of ten tasks of 100: two of them may wait. */
const CAPACITY = needsOf(1_000);

const createTask = (item: string, fields: Partial<WaitingTask<string>> = {}) => ({
  item,
  ownerId: 'busy',
  needs: needsOf(100),
  priority: 1,
  objectiveAt: 0,
  expiresAt: 200,
  ...fields,
});

const createQueue = (...tasks: readonly WaitingTask<string>[]): AdmissionQueue<string> => {
  const queue = AdmissionQueue.create<string>();
  tasks.forEach((task) => queue.join(task, CAPACITY));
  return queue;
};

/** Serves with the given free CPU; returns the tasks that start. */
const serve = (queue: AdmissionQueue<string>, cpu: number): string[] => {
  const started: string[] = [];
  queue.serve<string>(
    needsOf(cpu),
    ({ needs }, rest): StartDecision<string> =>
      needs.cpu <= rest.cpu ? { type: 'start' } : { type: 'waitForRoom' },
    ({ item }) => started.push(item),
  );
  return started;
};

describe('AdmissionQueue', () => {
  // Guards against room that goes to whoever asked first, whatever its urgency.
  it('starts tasks by priority, then by the time of their objective', () => {
    const queue = createQueue(
      createTask('late', { objectiveAt: 20 }),
      createTask('early', { objectiveAt: 10 }),
    );
    expect(queue.join(createTask('urgent', { priority: 0, objectiveAt: 90 }), CAPACITY)).toEqual({
      isQueued: true,
      displaced: ['late'],
    });
    expect(serve(queue, 200)).toEqual(['urgent', 'early']);
    expect(queue.size).toBe(0);
  });

  // Guards against large tasks that never start because small ones take each bit of room before them.
  it('keeps room for the first task in order from those behind it', () => {
    const queue = createQueue(
      createTask('large', { needs: needsOf(200), priority: 0 }),
      createTask('small', { needs: needsOf(50) }),
    );
    expect(serve(queue, 150)).toEqual([]);
    expect(queue.freeFor(needsOf(150), { priority: 1, objectiveAt: 0 })).toEqual(needsOf(0));
    expect(serve(queue, 250)).toEqual(['large', 'small']);
  });

  it('leaves the room before a task that waits for something else to those behind it', () => {
    const queue = createQueue(createTask('held', { priority: 0 }), createTask('next'));
    const started: string[] = [];
    queue.serve<string>(
      needsOf(100),
      ({ item }) => (item === 'held' ? { type: 'wait' } : { type: 'start' }),
      ({ item }) => started.push(item),
    );
    expect(started).toEqual(['next']);
    expect(queue.select(() => true)).toEqual(['held']);
  });

  it('lets one task wait that needs more than a quarter of the capacity, and no other beside it', () => {
    const queue = createQueue(createTask('huge', { needs: needsOf(900) }));
    expect(queue.size).toBe(1);
    expect(queue.join(createTask('other'), CAPACITY).isQueued).toBe(false);
    expect(queue.fullFor(needsOf(100), CAPACITY)).toBe(1);
  });

  // Guards against a busy entry that fills all queues, so that a quiet one gets no turn.
  it('has an entry with many waiting tasks give way to one with fewer of equal priority', () => {
    const queue = createQueue(createTask('first'), createTask('second', { objectiveAt: 5 }));
    const quiet = createTask('quiet', { ownerId: 'quiet', objectiveAt: 50 });
    expect(queue.join(quiet, CAPACITY)).toEqual({ isQueued: true, displaced: ['second'] });
    // Guards against entries that displace each other's tasks in turn.
    const again = createTask('again', { objectiveAt: 1 });
    expect(queue.join(again, CAPACITY)).toEqual({ isQueued: false, displaced: [] });
  });

  it('displaces nothing for a task that would still find no place', () => {
    const queue = createQueue(createTask('urgent', { priority: 0 }), createTask('long'));
    const large = createTask('large', { needs: needsOf(200), priority: 0, ownerId: 'other' });
    expect(queue.join(large, CAPACITY)).toEqual({ isQueued: false, displaced: [] });
    expect(queue.size).toBe(2);
  });

  it('gives back tasks with the reasons of the decisions', () => {
    const queue = createQueue(createTask('gone'));
    const givenBack = queue.serve(
      needsOf(100),
      (): StartDecision<string> => ({ type: 'giveBack', reason: 'closed' }),
      jest.fn(),
    );
    expect(givenBack).toEqual([{ item: 'gone', reason: 'closed' }]);
    expect([queue.size, queue.nextExpiryAt]).toEqual([0, Infinity]);
  });
});
