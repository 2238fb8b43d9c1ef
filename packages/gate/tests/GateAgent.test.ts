import { createLog } from '@marjorammast/telemetry';
import { Link, createCallServer } from '@marjorammast/protocol';
import type { Params } from '@marjorammast/protocol';
import { GateAgent } from '../src/GateAgent';
import type { HoldAnswer, WorkerPort, WorkerReport } from '../src/WorkerPort';

const report: WorkerReport = {
  id: 'i-1',
  born: 1_000,
  service: 'desk',
  dataCenter: 'one',
  capacity: { cpu: 4_000, memoryMb: 1_000, accelerators: 0 },
  labels: [],
  isLeaving: false,
  clock: 50,
  sequence: 1,
};

const port = (isClean: () => boolean): WorkerPort => {
  const running = [{ task: { job: 'x', occurrence: 0, step: 0, index: 0 }, run: 1, percent: 1 }];
  const list = (): HoldAnswer => ({
    type: 'list',
    list: { born: 1_000, clock: 50, running: isClean() ? [] : running, ended: [] },
  });
  const after = <T>(answer: () => T): Promise<T> =>
    new Promise((resolve) => {
      setTimeout(() => resolve(answer()), 1);
    });
  return {
    start: () => after(() => ({ type: 'accepted', clock: 50 })),
    stop: () => after(() => ({ type: 'accepted', clock: 50 })),
    hold: () => after(list),
  };
};

/** An entry at the other end of a link in memory. */
const attach = async (agent: GateAgent, entry: string) => {
  const views: Params<'view'>[] = [];
  const server = createCallServer({
    view: (view) => {
      views.push(view);
      return {};
    },
  });
  const ends: { there?: Link; back?: Link } = {};
  const there = Link.create(
    'agent',
    { write: (m) => ends.back?.receive(m), close: jest.fn() },
    server,
  );
  const back = Link.create(
    entry,
    { write: (m) => there.receive(m), close: jest.fn() },
    agent.server,
  );
  Object.assign(ends, { there, back });
  const answer = await there.call('attach', { entry, rules: { revision: 0, outDataCenters: [] } });
  return { views, answer };
};

describe('GateAgent', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // The view was open, closed and open again between two sendings: the entry that attached in the
  // middle was told nothing, since the view was the one that had been sent last.
  it('tells an entry that attached to a view in between', async () => {
    let isClean = true;
    const agent = GateAgent.create({
      name: 'agent',
      dataCenter: 'one',
      port: port(() => isClean),
      clock: () => performance.now(),
      log: createLog('agent', 'silent'),
      meter: { assigned: jest.fn(), ended: jest.fn() },
    });
    agent.report(report);
    const first = await attach(agent, 'first');
    await jest.advanceTimersByTimeAsync(600);
    expect(first.views.pop()?.state).toBe('open');
    isClean = false;
    await jest.advanceTimersByTimeAsync(5);
    const second = await attach(agent, 'second');
    expect(second.answer.view.state).toBe('closed');
    isClean = true;
    await jest.advanceTimersByTimeAsync(600);
    expect(second.views.pop()?.state).toBe('open');
    agent.halt();
  });
});
