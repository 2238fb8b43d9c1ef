import { EventEmitter } from 'node:events';
import { createLog } from '@marjorammast/telemetry';
import { guardProcess } from '../src/guardProcess';

const createFixture = () => {
  const emitter = new EventEmitter();
  const lines: string[] = [];
  const exit = jest.fn();
  const log = createLog('daemon', 'info', (line) => void lines.push(line));
  guardProcess(log, { on: (event, listener) => emitter.on(event, listener), exit });
  return { emitter, lines, exit };
};

describe('guardProcess', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('logs an unexpected error or rejection with its reason, and goes on', () => {
    const { emitter, lines, exit } = createFixture();
    emitter.emit('uncaughtException', new Error('first'));
    emitter.emit('unhandledRejection', 'second');
    expect(lines).toHaveLength(2);
    expect(lines[0]).toContain('event=unexpected_error detail=first');
    expect(lines[1]).toContain('detail=second');
    expect(exit).not.toHaveBeenCalled();
  });

  it('ends a process that fails again and again, not one that fails now and then', () => {
    const { emitter, exit } = createFixture();
    const fail = () => emitter.emit('uncaughtException', new Error('again'));
    for (let count = 0; count < 100; count += 1) {
      fail();
      jest.advanceTimersByTime(1_000);
    }
    expect(exit).not.toHaveBeenCalled();
    for (let count = 0; count < 20; count += 1) fail();
    expect(exit).toHaveBeenCalledWith(1);
  });
});
