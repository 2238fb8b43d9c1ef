import { BoundTasks } from '../src/BoundTasks';
import { BOUND_TASK_RETENTION_MS } from '../src/constants';

describe('BoundTasks', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('keeps a task with the first worker that has a start of it without an answer', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first');
    tasks.bind('a', 0, 'second');
    expect(tasks.agentOf('a', 0)).toBe('first');
    expect(tasks.agentOf('a', 1)).toBeUndefined();
    expect([tasks.has('a'), tasks.has('b')]).toEqual([true, false]);
  });

  it('forgets a task only after the time in which the start may be carried out', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first');
    jest.advanceTimersByTime(BOUND_TASK_RETENTION_MS);
    tasks.bind('b', 0, 'second');
    expect(tasks.agentOf('a', 0)).toBe('first');
    jest.advanceTimersByTime(1);
    tasks.bind('b', 1, 'second');
    expect(tasks.agentOf('a', 0)).toBeUndefined();
    expect(tasks.agentOf('b', 0)).toBe('second');
  });

  it('forgets a task also when no other one is bound', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first');
    jest.advanceTimersByTime(BOUND_TASK_RETENTION_MS);
    expect(tasks.has('a')).toBe(true);
    jest.advanceTimersByTime(1);
    expect([tasks.has('a'), tasks.agentOf('a', 0)]).toEqual([false, undefined]);
  });

  it('lists the tasks of a job for as long as they are bound', () => {
    const tasks = BoundTasks.create();
    tasks.bind('a', 0, 'first');
    tasks.bind('a', 3, 'second');
    tasks.bind('b', 1, 'first');
    expect(tasks.tasksOf('a')).toEqual([
      [0, 'first'],
      [3, 'second'],
    ]);
    expect(tasks.tasksOf('c')).toEqual([]);
    jest.advanceTimersByTime(BOUND_TASK_RETENTION_MS + 1);
    expect(tasks.tasksOf('a')).toEqual([]);
  });
});
