import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { sleep } from '@marjorammast/protocol';
import { DispatchDeployment } from '../src/local/DispatchDeployment';
import type { ClientAnswer } from '../src/local/DispatchDeployment';

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** The first entry has so few cores by its settings that some jobs a second overload it. */
const createFields = (index: number) => ({
  forwarding: {},
  processorCores: { cores: index === 0 ? 0.01 : 1_000 },
});

const ENDED = /marjorammast_forwarded\{answer="ended"\} (\d+)/;

describe('forwarding between entries as processes', () => {
  let deployment: DispatchDeployment;
  let nextId = 1;

  const submit = (runMs = 40): Promise<ClientAnswer> => {
    nextId += 1;
    return deployment.submit(0, idOf(nextId), 2, { runMs, cpu: 100 });
  };

  const countEnded = async (): Promise<number> => {
    const { body } = await deployment.call('entry-0-metrics', 'GET', '/metrics');
    return Number(ENDED.exec(String(body))?.[1] ?? 0);
  };

  const logOf = (index: number): string =>
    readFileSync(join(deployment.logFolder, `entry-${index}.log`), 'utf8');

  beforeAll(async () => {
    deployment = await DispatchDeployment.create(2, 2, { entryFields: createFields });
  });

  afterAll(() => deployment.stop());

  // Guards against an entry that never connects to others, and against answers that do not come back.
  it('answers the jobs of an overloaded entry through another one', async () => {
    await deployment.waitUntil('a job forwarded and answered', async () => {
      expect((await submit()).status).toBe(200);
      return (await countEnded()) > 0;
    });
    expect(logOf(0)).toContain('event=job_forwarded');
  });

  // Guards against runs that nobody wants after the sender has died.
  it('stops the runs of an entry that is killed', async () => {
    const isForwardedRunning = () => {
      const [last] = logOf(0)
        .split('\n')
        .reverse()
        .filter((line) => line.includes('job='));
      return last?.includes('event=job_forwarded') ?? false;
    };
    await deployment.waitUntil('a long job forwarded', async () => {
      void submit(3_000).catch(() => undefined);
      await sleep(60);
      return isForwardedRunning();
    });
    deployment.entries[0]?.process.kill('SIGKILL');
    await sleep(600);
    const active = new Map<string, number>();
    deployment.workers
      .flatMap(({ events }) => events)
      .forEach(({ task, type }) =>
        active.set(task, (active.get(task) ?? 0) + (type === 'start' ? 1 : -1)),
      );
    expect([...active.values()].filter((count) => count > 0)).toEqual([]);
    expect(logOf(1)).toContain('event=sender_lost');
  });
});
