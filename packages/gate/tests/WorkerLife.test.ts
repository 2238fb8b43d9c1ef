import { createLog } from '@marjorammast/telemetry';
import type { RunEnd } from '@marjorammast/protocol';
import { WorkerLife } from '../src/WorkerLife';
import type { Inheritance, Run, WorkerLifeHost } from '../src/WorkerLife';
import type {
  HoldAnswer,
  HoldOrder,
  ListedEnd,
  ListedRun,
  OrderAnswer,
  StartOrder,
  StopOrder,
  WorkerReport,
} from '../src/WorkerPort';

const BORN = 1_000;

const CLOCK = 50;

const accepted: OrderAnswer = { type: 'accepted', clock: CLOCK };

const noAnswer: OrderAnswer = { type: 'noAnswer', detail: 'silent' };

const report: WorkerReport = {
  id: 'i-1',
  born: BORN,
  service: 'desk',
  dataCenter: 'one',
  capacity: { cpu: 4_000, memoryMb: 1_000, accelerators: 0 },
  labels: [],
  isLeaving: false,
  clock: CLOCK,
  sequence: 1,
};

const createRun = (index: number): Run => ({
  task: { job: 'a', occurrence: 0, step: 0, index },
  run: 1,
  owner: 'entry',
  needs: { cpu: 1_000, memoryMb: 10, accelerators: 0 },
  estimateMs: 100_000,
  bestSlowness: 1,
  takenAt: performance.now(),
  state: 'starting',
  stopAs: 'stopped',
  percent: 0,
  progressAt: performance.now(),
  isListed: false,
});

/** A worker whose answers a test sets. */
const createScene = (inheritance: Inheritance = { token: 0, doubtful: [] }) => {
  const scene = {
    startAnswer: accepted as OrderAnswer,
    stopAnswer: accepted as OrderAnswer,
    running: [] as ListedRun[],
    ended: [] as ListedEnd[],
    starts: [] as StartOrder[],
    stops: [] as StopOrder[],
    ends: [] as RunEnd[],
    holds: [] as HoldOrder[],
    born: BORN,
  };
  const list = (): HoldAnswer => ({
    type: 'list',
    list: { born: scene.born, clock: CLOCK, running: scene.running, ended: scene.ended },
  });
  const after = <T>(answer: () => T): Promise<T> =>
    new Promise((resolve) => {
      setTimeout(() => resolve(answer()), 1);
    });
  const host: WorkerLifeHost = {
    port: {
      start: (order) => {
        scene.starts.push(order);
        return after(() => scene.startAnswer);
      },
      stop: (order) => {
        scene.stops.push(order);
        return after(() => scene.stopAnswer);
      },
      hold: (order) => {
        scene.holds.push(order);
        return after(list);
      },
    },
    ended: (_, how) => scene.ends.push(how),
    unhealthy: jest.fn(),
    changed: jest.fn(),
    findSlow: () => [],
    replaced: jest.fn(),
    log: createLog('life', 'silent'),
  };
  const life = WorkerLife.create(report, host, inheritance);
  return Object.assign(scene, { life, host });
};

const pass = (ms: number) => jest.advanceTimersByTimeAsync(ms);

describe('WorkerLife', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('keeps the room of an unanswered start until a stop bars it and a list does not show it', async () => {
    const scene = createScene();
    await pass(20);
    scene.startAnswer = noAnswer;
    scene.stopAnswer = noAnswer;
    scene.life.take(createRun(0), '');
    await pass(60);
    expect(scene.stops.length).toBeGreaterThan(0);
    expect(scene.ends).toEqual([]);
    expect(scene.life.free.cpu).toBe(3_000);
    scene.stopAnswer = accepted;
    scene.running = [{ task: createRun(0).task, run: 1, percent: 0 }];
    await pass(100);
    expect(scene.ends).toEqual([]);
    scene.running = [];
    await pass(100);
    expect(scene.ends).toEqual(['notRun']);
    expect(scene.life.free.cpu).toBe(4_000);
    scene.life.end();
  });

  it('offers nothing while a list shows runs of a former agent, and stops them', async () => {
    const scene = createScene();
    scene.running = [{ task: createRun(3).task, run: 2, percent: 40 }];
    await pass(100);
    expect(scene.life.obstacle).toBe('runs unknown');
    expect(scene.stops[0]).toMatchObject({ task: createRun(3).task, run: 2 });
    scene.running = [];
    await pass(100);
    expect(scene.life.obstacle).toBe('');
    scene.life.end();
  });

  it('stops a run that nobody wants and frees its room once its end is listed', async () => {
    const scene = createScene();
    await pass(20);
    const run = createRun(0);
    scene.life.take(run, '');
    await pass(5);
    scene.running = [{ task: run.task, run: 1, percent: 1 }];
    scene.life.stop(run);
    await pass(60);
    expect(scene.stops.length).toBeGreaterThan(0);
    expect(scene.life.free.cpu).toBe(3_000);
    scene.running = [];
    scene.ended = [{ number: 1, task: run.task, run: 1, how: 'stopped' }];
    await pass(60);
    expect(scene.ends).toEqual(['stopped']);
    expect(scene.life.free.cpu).toBe(4_000);
    scene.life.end();
  });

  it('ends with the worker only what a list has shown', async () => {
    const scene = createScene();
    await pass(20);
    scene.life.take(createRun(0), '');
    scene.running = [{ task: createRun(0).task, run: 1, percent: 1 }];
    await pass(200);
    scene.life.take(createRun(1), '');
    await pass(1);
    const { doubtful, token } = scene.life.end();
    expect(scene.ends).toEqual(['lapsed']);
    expect(doubtful.map(({ task }) => task.index)).toEqual([1]);
    expect(token).toBe(BORN + CLOCK);
  });

  // An order of an agent that was killed was carried out by the worker's next life (soak, seed 20).
  it('has a higher token in a later life, also when another agent saw the one before', async () => {
    const scene = createScene();
    const later = { ...report, born: BORN + 60_000, clock: 1 };
    const { token } = WorkerLife.create(later, scene.host, { token: 0, doubtful: [] }).end();
    expect(token).toBeGreaterThan(BORN + 50_000);
    scene.life.end();
  });

  // A late order to the old life was carried out by the next one before its first report (soak, seed 47).
  it('shows a higher token to a next life as soon as that answers', async () => {
    const scene = createScene();
    await pass(20);
    scene.born = BORN + 60_000;
    await pass(20);
    const tokens = scene.holds.map(({ token }) => token);
    expect(Math.max(...tokens)).toBe(scene.born + CLOCK);
    scene.life.end();
  });

  // The next life refuses a lower token: its first report may be older than the list that it gave.
  it('leaves no lower token to a next life than the one that it has shown it', async () => {
    const scene = createScene();
    await pass(20);
    scene.born = BORN + 60_000;
    await pass(20);
    const left = scene.life.end();
    const older = { ...report, born: scene.born, clock: CLOCK - 10 };
    const next = WorkerLife.create(older, scene.host, left);
    expect(next.end().token).toBeGreaterThan(scene.born + CLOCK);
  });

  it('bars in the next life what the one before may have left, with a higher token', async () => {
    const scene = createScene({ token: 9_000, doubtful: [createRun(1)] });
    expect(scene.life.free.cpu).toBe(3_000);
    await pass(100);
    expect(scene.stops[0]).toMatchObject({ task: createRun(1).task, token: 9_001 });
    expect(scene.ends).toEqual(['notRun']);
    scene.life.end();
  });
});
