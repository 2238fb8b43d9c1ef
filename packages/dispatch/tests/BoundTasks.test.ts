import { BoundTasks } from '../src/BoundTasks';
import { BOUND_TASK_RETENTION_MS } from '../src/constants';

describe('BoundTasks', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('names every worker that has a start of a task without an answer', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first', 'i-1');
    tasks.bind('a', 0, 'first', 'i-1');
    expect(tasks.agentsOf('a', 0)).toEqual(['first']);
    tasks.bind('a', 0, 'second', 'i-1');
    expect(tasks.agentsOf('a', 0)).toEqual(['first', 'second']);
    expect(tasks.agentsOf('a', 1)).toEqual([]);
    expect([tasks.has('a'), tasks.has('b')]).toEqual([true, false]);
  });

  // Commands name the id of their worker: under another id it refuses those that were sent before.
  it('releases the tasks of an agent whose worker has another identifier', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first', 'i-1');
    tasks.bind('a', 1, 'second', 'i-1');
    tasks.release('first', 'i-1');
    expect(tasks.agentsOf('a', 0)).toEqual(['first']);
    tasks.release('first', 'i-2');
    expect(tasks.agentsOf('a', 0)).toEqual([]);
    expect(tasks.agentsOf('a', 1)).toEqual(['second']);
    tasks.release('second', 'i-2');
    expect(tasks.has('a')).toBe(false);
  });

  it('forgets a task only after the time in which the start may be carried out', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first', 'i-1');
    jest.advanceTimersByTime(BOUND_TASK_RETENTION_MS);
    tasks.bind('b', 0, 'second', 'i-1');
    expect(tasks.agentsOf('a', 0)).toEqual(['first']);
    jest.advanceTimersByTime(1);
    tasks.bind('b', 1, 'second', 'i-1');
    expect(tasks.agentsOf('a', 0)).toEqual([]);
    expect(tasks.agentsOf('b', 0)).toEqual(['second']);
  });

  it('forgets a task also when no other one is bound', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first', 'i-1');
    jest.advanceTimersByTime(BOUND_TASK_RETENTION_MS);
    expect(tasks.has('a')).toBe(true);
    jest.advanceTimersByTime(1);
    expect([tasks.has('a'), tasks.agentsOf('a', 0)]).toEqual([false, []]);
  });

  it('lists the tasks of a job for as long as they are bound', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first', 'i-1');
    tasks.bind('a', 3, 'second', 'i-1');
    tasks.bind('b', 1, 'first', 'i-1');
    expect(tasks.rowsOf('a')).toEqual([
      ['a', 0, 'first', 'i-1'],
      ['a', 3, 'second', 'i-1'],
    ]);
    expect(tasks.rowsOf('c')).toEqual([]);
    jest.advanceTimersByTime(BOUND_TASK_RETENTION_MS + 1);
    expect(tasks.rowsOf('a')).toEqual([]);
  });
});
