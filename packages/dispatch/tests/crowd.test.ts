import { createLog } from '@marjorammast/telemetry';
import type { Resources, WorkerView } from '@marjorammast/protocol';
import { CrashRecords } from '../src/CrashRecords';
import { RouteConfinement } from '../src/RouteConfinement';
import { ActiveJob } from '../src/ActiveJob';
import type { AgentConnection, Assignment } from '../src/AgentConnection';
import { MAX_LATENESS_FACTOR } from '../src/constants';
import { Dispatcher } from '../src/Dispatcher';
import { testRoute } from './support';

const NEEDS = { cpu: 1_000, memoryMb: 10, accelerators: 0 };

const RUN_MS = 100;

/** Tasks that the workers run at the same time: 100 tasks of 100 ms a second. */
const SLOTS = 10;

/** Jobs of one task that arrive each second: twice what the workers can run. */
const JOBS_PER_S = 200;

const LENGTH_MS = 4_000;

/** A worker with its agent, which admits what fits and ends each run after its run time. */
const createWorker = () => {
  const worker = { running: 0, endRun: (_: string): void => undefined };
  const free = (): Resources => ({ ...NEEDS, cpu: (SLOTS - worker.running) * NEEDS.cpu });
  const connection = {
    name: 'agent',
    agent: { name: 'agent', address: '', dataCenter: 'one' },
    pausedUntil: 0,
    get view(): WorkerView {
      const capacity = { ...NEEDS, cpu: SLOTS * NEEDS.cpu };
      const view = {
        service: 'desk',
        labels: [],
        capacity,
        free: free(),
        reason: '',
        slowness: 1,
        incarnation: 'i-1@1',
      };
      return { ...view, state: 'open' };
    },
    get free() {
      return free();
    },
    assign: (assignment: Assignment) => {
      worker.running += assignment.runs.length;
      setTimeout(() => {
        worker.running -= assignment.runs.length;
        worker.endRun(assignment.job);
      }, RUN_MS);
      return Promise.resolve({ taken: [0], free: free(), clock: 0 });
    },
    abandon: jest.fn(),
  };
  return { worker, connection: connection as unknown as AgentConnection };
};

const createJob = (id: string): ActiveJob => {
  const step = {
    count: 1,
    needs: NEEDS,
    estimateMs: RUN_MS,
    after: [],
    maxPerWorker: 0,
    traits: [],
  };
  const request = { id, spec: '', steps: [step], isBestEffort: true, repeatCount: 0 };
  return ActiveJob.create(request, testRoute, step, 9_000);
};

const createDispatcher = (connection: AgentConnection): Dispatcher =>
  Dispatcher.create({
    dataCenter: 'one',
    connections: () => [connection],
    findConnection: () => connection,
    evacuatedDataCenters: () => [],
    beforePass: () => undefined,
    crashRecords: CrashRecords.create(),
    confinement: RouteConfinement.create(),
    random: () => 0,
    log: createLog('dispatcher', 'silent'),
  });

/** Replays a crowd and returns the answers with the time that each job took. */
const replayCrowd = async () => {
  const { worker, connection } = createWorker();
  const dispatcher = createDispatcher(connection);
  worker.endRun = (job) => dispatcher.handleRunEnds('agent', [[job, 0, 1, 'done', RUN_MS]]);
  const answers: { type: string; ms: number; mayHaveRun: boolean; retryAfterMs?: number }[] = [];
  for (let at = 0; at < LENGTH_MS; at += 1_000 / JOBS_PER_S) {
    const job = createJob(String(at));
    void job.waitForOutcome().then((outcome) => {
      dispatcher.remove(job);
      const ms = performance.now() - job.arrivedAt;
      answers.push({ ...outcome, ms, mayHaveRun: job.mayHaveRun });
    });
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(1_000 / JOBS_PER_S);
  }
  await jest.advanceTimersByTimeAsync(2_000);
  dispatcher.halt();
  return answers;
};

describe('a crowd of twice what the workers can run', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('keeps the workers busy, and refuses the others long before their time is over, untried', async () => {
    const answers = await replayCrowd();
    const refused = answers.filter(({ type }) => type === 'refused');
    const completed = answers.filter(({ type }) => type === 'completed');
    expect(answers).toHaveLength((LENGTH_MS / 1_000) * JOBS_PER_S);
    expect(completed.length + refused.length).toBe(answers.length);
    expect(completed.length).toBeGreaterThanOrEqual(((LENGTH_MS / RUN_MS) * SLOTS * 95) / 100);
    expect(refused.filter(({ mayHaveRun }) => mayHaveRun)).toEqual([]);
    const objectiveMs = testRoute.stretch * RUN_MS + testRoute.targetLatencyMs;
    const naiveMs = MAX_LATENESS_FACTOR * objectiveMs - RUN_MS;
    const settled = refused.slice(refused.length / 4).map(({ ms }) => ms);
    const meanMs = settled.reduce((sum, ms) => sum + ms, 0) / settled.length;
    expect(meanMs).toBeLessThan(naiveMs / 2);
  });

  it('tells those that it refuses to come back later, the longer the queue', async () => {
    const answers = await replayCrowd();
    const refused = answers.filter(({ type }) => type === 'refused');
    refused.forEach(({ retryAfterMs }) => expect(retryAfterMs).toBeGreaterThanOrEqual(200));
  });

  // Guards against an estimate that counts the time without workers: after all VMs had lost power it had
  // jobs refused that the returning workers could have run (further, scale-2, 2026-12-04).
  it('refuses nothing for the time in which there were no workers', async () => {
    const { worker, connection } = createWorker();
    const { view } = connection;
    Object.defineProperty(connection, 'view', { value: undefined, configurable: true });
    const dispatcher = createDispatcher(connection);
    worker.endRun = (job) => dispatcher.handleRunEnds('agent', [[job, 0, 1, 'done', RUN_MS]]);
    const types: string[] = [];
    const add = (id: number): void => {
      const job = createJob(String(id));
      void job.waitForOutcome().then(({ type }) => types.push(type));
      dispatcher.add(job);
    };
    for (let id = 0; id < 100; id += 1) {
      add(1_000 + id);
      await jest.advanceTimersByTimeAsync(10);
    }
    const answeredBefore = types.length;
    Object.defineProperty(connection, 'view', { value: view });
    for (let id = 0; id < 3 * SLOTS; id += 1) add(id);
    await jest.advanceTimersByTimeAsync(1_000);
    dispatcher.halt();
    expect(types.slice(0, answeredBefore).every((type) => type === 'refused')).toBe(true);
    expect(types.filter((type) => type === 'completed').length).toBeGreaterThanOrEqual(3 * SLOTS);
  });
});
