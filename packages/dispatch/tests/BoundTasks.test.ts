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
});
