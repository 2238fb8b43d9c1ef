import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { sleep } from '@marjorammast/protocol';
import { DispatchDeployment } from '../src/local/DispatchDeployment';
import type { ClientAnswer } from '../src/local/DispatchDeployment';

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

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
    const answers = await Promise.all(
      Array.from({ length: 20 }, (_, index) => submit(index % 2, 4, 60)),
    );
    expect(answers.map(({ status }) => status)).toEqual(Array(20).fill(200));
    expect(answers.map(({ body }) => body)).toEqual(Array(20).fill({ state: 'completed' }));
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
    const probe = () => deployment.call('entry-1-clients', 'GET', '/new/');
    const route = {
      name: 'new',
      host: 'claims.example',
      prefix: '/new/',
      backend: 'desk',
      timeout_ms: 5_000,
    };
    const oldRoute = { ...route, name: 'claims', prefix: '/claims/', attempts: 2, stretch: 2 };
    expect((await probe()).status).toBe(404);
    deployment.store.put('op/config', JSON.stringify({ version: 4, routes: [oldRoute, route] }));
    await deployment.waitUntil('new route known', async () => (await probe()).status === 200);
    deployment.store.put('op/config', 'unreadable');
    await sleep(200);
    expect((await probe()).status).toBe(200);
    deployment.store.put('op/config', JSON.stringify({ version: 5, routes: [oldRoute, route] }));
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
