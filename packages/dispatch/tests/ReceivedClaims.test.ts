import { createLog } from '@marjorammast/telemetry';
import { ReceivedClaims } from '../src/ReceivedClaims';
import { connect, createServer } from './forwardingSupport';

describe('ReceivedClaims', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a claim that lasts for days and keeps all that follow it, until no claim is taken any more.
  it('forgets expired claims behind one that lasts when it is full', () => {
    const claims = ReceivedClaims.create(createLog('claims', 'silent'));
    const { near } = connect(createServer(), createServer());
    claims.add('long', 'other', near, 2 ** 31);
    for (let index = 0; index < 20_000; index += 1) claims.add(`${index}`, 'other', near, 1_000);
    expect(claims.isFull).toBe(true);
    jest.advanceTimersByTime(3_000);
    expect(claims.isFull).toBe(false);
    expect(claims.until('long')).toBeGreaterThan(0);
  });
});
