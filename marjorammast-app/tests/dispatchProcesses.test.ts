import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { sleep } from '@marjorammast/protocol';
import { DispatchDeployment, ROUTE_HOST } from '../src/local/DispatchDeployment';
import type { ClientAnswer } from '../src/local/DispatchDeployment';

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** Longest time to the answer of a job that waits for room, in milliseconds. */
const MAX_ANSWER_MS = 5_000;

const createRoute = (name: string, fields: object = {}) => ({
  name,
  host: ROUTE_HOST,
  prefix: `/${name}/`,
  backend: 'desk',
  timeout_ms: 5_000,
  ...fields,
});

const CLAIMS_ROUTE = createRoute('claims', { attempts: 2, stretch: 2 });

/** Three times its objective is more than its timeout, so that no wait is a reason to refuse its jobs. */
const PATIENT_ROUTE = createRoute('patient', { timeout_ms: 30_000, target_latency_ms: 10_000 });

/** Finds the tasks that had two active runs at the same time. */
const findOverlappingRuns = (deployment: DispatchDeployment): string[] => {
  const events = deployment.workers.flatMap((worker) => worker.events).sort((a, b) => a.at - b.at);
  const runCounts = new Map<string, number>();
  return events.flatMap(({ task, type }) => {
    const count = (runCounts.get(task) ?? 0) + (type === 'start' ? 1 : -1);
    runCounts.set(task, count);
    return count > 1 ? [task] : [];
  });
};

describe('entries and agents as processes', () => {
  let deployment: DispatchDeployment;
  let nextId = 1;

  const configure = (version: number, routes: object[]) =>
    deployment.store.put('op/config', JSON.stringify({ version, routes }));

  /** Returns the status of a call on a route, which is 404 when the entry does not know it. */
  const probe = async (entry: number, name: string): Promise<number> =>
    (await deployment.call(`entry-${entry}-clients`, 'GET', `/${name}/`)).status;

  const submit = (entry: number, tasks: number, runMs: number, cpu = 500) => {
    nextId += 1;
    return deployment.submit(entry, idOf(nextId), tasks, { runMs, cpu });
  };

  beforeAll(async () => {
    deployment = await DispatchDeployment.create(2, 3);
  });

  afterAll(() => deployment.stop());

  afterEach(() => {
    expect(findOverlappingRuns(deployment)).toEqual([]);
    expect(deployment.workers.flatMap((worker) => worker.overloads)).toEqual([]);
  });

  it('complete all jobs, even when more tasks wait than fit on the workers', async () => {
    configure(2, [{ ...CLAIMS_ROUTE, target_latency_ms: 100 }, PATIENT_ROUTE]);
    await deployment.waitUntil('patient route known', async () => {
      const statuses = await Promise.all([0, 1].map((entry) => probe(entry, 'patient')));
      return statuses.every((status) => status === 200);
    });
    const step = { count: 4, cpu: 500, mem_mb: 10, est_runtime_ms: 60 };
    const spec = JSON.stringify({ runMs: 60, cpu: 500 });
    const body = { spec, steps: [step], best_effort: true };
    const sentAt = performance.now();
    const answers = await Promise.all(
      Array.from({ length: 20 }, (_, index) => {
        nextId += 1;
        const path = `${PATIENT_ROUTE.prefix}${idOf(nextId)}`;
        return deployment.call(`entry-${index % 2}-clients`, 'POST', path, body);
      }),
    );
    expect(answers.map(({ status }) => status)).toEqual(Array(20).fill(200));
    expect(answers.map(({ body: outcome }) => outcome)).toEqual(
      Array(20).fill({ state: 'completed' }),
    );
    expect(performance.now() - sentAt).toBeLessThan(MAX_ANSWER_MS);
    // Guards against a queue at the agents that the settings do not switch on.
    const logs = [0, 1, 2].map((index) =>
      readFileSync(join(deployment.logFolder, `agent-${index}.log`), 'utf8'),
    );
    expect(logs.some((text) => text.includes(' queued='))).toBe(true);
  });

  it('fail a job once a task has failed as often as its route allows', async () => {
    nextId += 1;
    const answer = await deployment.submit(0, idOf(nextId), 1, {
      runMs: 20,
      cpu: 500,
      fails: true,
    });
    expect(answer).toMatchObject({ status: 200, body: { state: 'failed' } });
    const runs = deployment.workers
      .flatMap(({ events }) => events)
      .filter(({ task, type }) => task.startsWith(idOf(nextId)) && type === 'failed');
    expect(runs).toHaveLength(2);
  });

  it('fail a job once two workers have crashed under one of its tasks', async () => {
    nextId += 1;
    const spec = { runMs: 200, cpu: 500, crashingTask: 1 };
    const answer = await deployment.submit(0, idOf(nextId), 2, spec);
    expect(answer).toMatchObject({ status: 200, body: { state: 'failed' } });
    const crashes = deployment.workers
      .flatMap(({ events }) => events)
      .filter(({ task, type }) => task === `${idOf(nextId)}.0.0.1` && type === 'crashed');
    expect(crashes).toHaveLength(2);
    await Promise.all([0, 1].map((entry) => deployment.waitForWorkers(entry, 3)));
  });

  it('refuse a job with an unsupported feature and say when to retry', async () => {
    nextId += 1;
    const answer = await deployment.submit(
      0,
      idOf(nextId),
      1,
      { runMs: 20, cpu: 500 },
      {
        best_effort: false,
      },
    );
    expect(answer).toMatchObject({ status: 503, body: { error: 'notSupported' } });
    expect(answer.headers['retry-after']).toBeDefined();
  });

  it('answer 404 for an unknown route and 400 for a malformed body', async () => {
    const unknown = await deployment.call('entry-0-clients', 'POST', `/other/${idOf(1)}`, {});
    expect(unknown.status).toBe(404);
    const malformed = await deployment.call('entry-0-clients', 'POST', `/claims/${idOf(1)}`, {});
    expect(malformed).toMatchObject({
      status: 400,
      body: { error: expect.stringContaining('steps') },
    });
  });

  it('apply a new configuration without a restart and keep the last valid one', async () => {
    const newRoute = createRoute('new');
    expect(await probe(1, 'new')).toBe(404);
    configure(4, [CLAIMS_ROUTE, newRoute]);
    await deployment.waitUntil('new route known', async () => (await probe(1, 'new')) === 200);
    deployment.store.put('op/config', 'unreadable');
    await sleep(200);
    expect(await probe(1, 'new')).toBe(200);
    configure(5, [CLAIMS_ROUTE, newRoute]);
  });

  it('start no run in a data centre that is evacuated', async () => {
    deployment.store.put('op/evacuate/north', '{}');
    const isApplied = () =>
      [0, 2].every((index) =>
        readFileSync(join(deployment.logFolder, `agent-${index}.log`), 'utf8').includes(
          'out=north',
        ),
      );
    await deployment.waitUntil('evacuation known to the agents', async () => isApplied());
    const before = deployment.workers.map(({ events }) => events.length);
    const answers = await Promise.all([submit(0, 4, 30), submit(1, 4, 30)]);
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    const after = deployment.workers.map(({ events }) => events.length);
    expect([after[0], after[2]]).toEqual([before[0], before[2]]);
    deployment.store.put('op/evacuate/north', undefined);
    await sleep(100);
  });

  // Guards against a data centre that stays out for good: no entry has seen that it was taken back.
  it('use a data centre again that was taken back while all entries were down', async () => {
    const countStarts = () =>
      deployment.workers[0]?.events.filter(({ type }) => type === 'start').length ?? 0;
    const evacuations = readFileSync(join(deployment.logFolder, 'agent-0.log'), 'utf8').split(
      'out=north',
    );
    deployment.store.put('op/evacuate/north', '{}');
    await deployment.waitUntil('evacuation known to the agent', async () => {
      const text = readFileSync(join(deployment.logFolder, 'agent-0.log'), 'utf8');
      return text.split('out=north').length > evacuations.length;
    });
    const killed = [...deployment.entries];
    killed.forEach(({ process: child }) => child.kill('SIGKILL'));
    await Promise.all(killed.map((entry) => deployment.waitForExit(entry)));
    deployment.store.put('op/evacuate/north', undefined);
    await Promise.all(killed.map((_, index) => deployment.startEntry(index)));
    await Promise.all(killed.map((_, index) => deployment.waitForWorkers(index, 3)));
    const before = countStarts();
    await deployment.waitUntil('starts in the data centre', async () => {
      await submit(0, 3, 30);
      return countStarts() > before;
    });
  });

  it('keep completing jobs while the store is down and after SIGHUP', async () => {
    deployment.store.fault = 'refuse';
    deployment.entries.forEach(({ process: child }) => child.kill('SIGHUP'));
    deployment.agents.forEach(({ process: child }) => child.kill('SIGHUP'));
    await sleep(300);
    const answers = await Promise.all([submit(0, 3, 40), submit(1, 3, 40)]);
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    deployment.store.fault = 'none';
  });

  it('finish the jobs in progress on SIGTERM of an entry', async () => {
    const pending = submit(1, 3, 800);
    await sleep(200);
    const [, entry] = deployment.entries;
    entry?.process.kill('SIGTERM');
    const answer = await pending;
    expect(answer).toMatchObject({ status: 200, body: { state: 'completed' } });
    if (entry) await deployment.waitForExit(entry);
    await deployment.startEntry(1);
    await deployment.waitForWorkers(1, 3);
  });

  it('finish the runs in progress on SIGTERM of an agent', async () => {
    const pending = Promise.all(Array.from({ length: 6 }, () => submit(0, 2, 700)));
    await sleep(200);
    const [agent] = deployment.agents;
    agent?.process.kill('SIGTERM');
    expect((await pending).map(({ status }) => status)).toEqual(Array(6).fill(200));
    if (agent) await deployment.waitForExit(agent);
    await deployment.startAgent(0);
    await deployment.waitForWorkers(0, 3);
  });

  it('rerun the tasks of a killed agent once their runs have certainly ended', async () => {
    const pending: Promise<ClientAnswer>[] = Array.from({ length: 6 }, () => submit(0, 2, 900));
    await sleep(200);
    const [, agent] = deployment.agents;
    agent?.process.kill('SIGKILL');
    expect((await Promise.all(pending)).map(({ status }) => status)).toEqual(Array(6).fill(200));
    await deployment.startAgent(1);
    await deployment.waitForWorkers(0, 3);
  });

  // Guards against workers that refuse each later process of their agent (RECOVER): its tokens had followed from the
  // clock of the worker, which begins at any reading when the worker comes back under its id.
  it('serve again after all agents were killed, when the workers had come back with lower clocks', async () => {
    const countSessions = (agent: number) =>
      readFileSync(join(deployment.logFolder, `agent-${agent}.log`), 'utf8').split('token_chosen')
        .length;
    const restartWorkers = async (clockStart: number) => {
      const before = deployment.workers.map((_, index) => countSessions(index));
      deployment.workers.forEach((worker) => {
        worker.nextClockStart = clockStart;
        worker.restart();
      });
      await deployment.waitUntil('sessions with the restarted workers', async () =>
        before.every((count, index) => countSessions(index) > count),
      );
      await deployment.waitForWorkers(0, 3);
    };
    await restartWorkers(476_000);
    await restartWorkers(2_000);
    const restartAgents = async () => {
      const killed = [...deployment.agents];
      killed.forEach(({ process: child }) => child.kill('SIGKILL'));
      await Promise.all(killed.map((agent) => deployment.waitForExit(agent)));
      await Promise.all(killed.map((_, index) => deployment.startAgent(index)));
      await deployment.waitForWorkers(0, 3);
    };
    await restartAgents();
    await restartAgents();
    expect(await submit(0, 3, 40)).toMatchObject({ status: 200, body: { state: 'completed' } });
  });

  it('stop the runs whose entry is frozen', async () => {
    const abandoned = submit(0, 3, 3_000).catch(() => undefined);
    await sleep(300);
    const [entry] = deployment.entries;
    entry?.process.kill('SIGSTOP');
    const countRunning = () => deployment.workers.reduce((sum, worker) => sum + worker.running, 0);
    await deployment.waitUntil('runs stopped', async () => countRunning() === 0);
    entry?.process.kill('SIGCONT');
    await abandoned;
  });
});
