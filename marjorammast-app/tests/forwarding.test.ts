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

  /** Waits for a line of a log, which is written some time after the event. */
  const waitForLine = (index: number, text: string): Promise<void> =>
    deployment.waitUntil(text, async () => logOf(index).includes(text));

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
    await waitForLine(0, 'event=job_forwarded');
  });

  /** Submits long jobs until one is forwarded. Returns its answer; the last job is the forwarded one. */
  const forwardLong = async (): Promise<{ answer: Promise<ClientAnswer | undefined> }> => {
    let answer: Promise<ClientAnswer | undefined> = Promise.resolve(undefined);
    await deployment.waitUntil('a long job forwarded', async () => {
      answer = submit(3_000).catch(() => undefined);
      await sleep(60);
      const lines = logOf(0)
        .split('\n')
        .filter((line) => line.includes(`job=${idOf(nextId)}`));
      const isDeclined = lines.some((line) => line.includes('event=forward_declined'));
      return !isDeclined && lines.some((line) => line.includes('event=job_forwarded'));
    });
    return { answer };
  };

  const countActiveRuns = (id: string): number =>
    deployment.workers
      .flatMap(({ events }) => events)
      .filter(({ task }) => task.startsWith(id))
      .reduce((sum, { type }) => sum + (type === 'start' ? 1 : -1), 0);

  // Guards against a job without an answer, and against runs of a job that its sender has given up.
  it('answers 504 when the receiver is paused, whose runs end', async () => {
    const { answer } = await forwardLong();
    const id = idOf(nextId);
    await deployment.waitUntil('its runs started', async () => countActiveRuns(id) === 2);
    const receiver = deployment.entries[1]?.process;
    receiver?.kill('SIGSTOP');
    expect((await answer)?.status).toBe(504);
    await sleep(100);
    receiver?.kill('SIGCONT');
    await sleep(500);
    expect(countActiveRuns(id)).toBe(0);
    await waitForLine(0, 'event=forward_lost');
  });

  // Guards against runs that nobody wants after the sender has died.
  it('stops the runs of an entry that is killed', async () => {
    await forwardLong();
    deployment.entries[0]?.process.kill('SIGKILL');
    await sleep(600);
    const active = new Map<string, number>();
    deployment.workers
      .flatMap(({ events }) => events)
      .forEach(({ task, type }) =>
        active.set(task, (active.get(task) ?? 0) + (type === 'start' ? 1 : -1)),
      );
    expect([...active.values()].filter((count) => count > 0)).toEqual([]);
    await waitForLine(1, 'event=sender_lost');
  });
});
