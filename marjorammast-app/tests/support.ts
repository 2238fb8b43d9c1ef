import { readFileSync } from 'node:fs';
import { callEntry } from '../src/callEntry';
import type { EntryAnswer } from '../src/callEntry';
import { Deployment } from '../src/local/Deployment';
import { SAMPLE_ENVIRONMENT } from '../src/samples';

/** One line of the targets' record. */
export type TargetRecord = {
  at: number;
  event: string;
  target: string;
  job: string;
  index: number;
};

/** What one client saw of one job. */
export type ClientRecord = {
  job: string;
  sentAt: number;
  answers: EntryAnswer[];
  errors: string[];
};

export const DATA_CENTERS = ['bangkok-north', 'ayutthaya'];

const TRIES = 8;

const RETRY_MS = 300;

const BALANCER_PERIOD_MS = 200;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts a small deployment of separate processes. */
export const startDeployment = (): Promise<Deployment> =>
  Deployment.create({ entries: 3, agents: 4, dataCenters: DATA_CENTERS }, SAMPLE_ENVIRONMENT);

/** What the targets recorded. */
export const readRecords = (deployment: Deployment): TargetRecord[] =>
  readFileSync(deployment.records, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TargetRecord);

/** Tasks that were started more than once. */
export const startedTwice = (records: readonly TargetRecord[]): string[] => {
  const counts = new Map<string, number>();
  records
    .filter(({ event }) => event === 'start')
    .forEach(({ job, index }) => {
      const key = `${job}#${index}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    });
  return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
};

/** Stands for the platform's balancer: knows which entries say that they are ready. */
type Balancer = { ready: string[]; stop: () => void };

const startBalancer = (deployment: Deployment): Balancer => {
  const balancer: Balancer = { ready: [...deployment.addresses], stop: () => undefined };
  const look = async (): Promise<void> => {
    const states = await Promise.all(
      deployment.addresses.map(async (address) => {
        const answer = await callEntry(address, 'GET', '/health/ready').catch(() => undefined);
        return { address, isReady: answer?.status === 200 };
      }),
    );
    balancer.ready = states.filter(({ isReady }) => isReady).map(({ address }) => address);
  };
  const timer = setInterval(() => void look(), BALANCER_PERIOD_MS);
  balancer.stop = () => clearInterval(timer);
  return balancer;
};

/** Submits one job, at one entry after the other, until one answers for good. */
const submitJob = async (
  balancer: Balancer,
  key: string,
  tasks: number,
  runMs: number,
  first: number,
): Promise<ClientRecord> => {
  const body = {
    key,
    team: 'kalahari-booths',
    kind: 'slot-hold',
    notAfter: Date.now() + 60_000,
    deadlineMs: 15_000,
    tasks: Array.from({ length: tasks }, () => ({ payload: { runMs } })),
  };
  const record: ClientRecord = {
    job: `kalahari-booths/${key}`,
    sentAt: Date.now(),
    answers: [],
    errors: [],
  };
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    const { ready } = balancer;
    const address = ready[(first + attempt) % Math.max(1, ready.length)] ?? '';
    try {
      const answer = await callEntry(address, 'POST', '/v1/jobs', body);
      record.answers.push(answer);
      if (answer.status !== 503) return record;
    } catch (error) {
      record.errors.push((error as Error).message);
    }
    await sleep(RETRY_MS);
  }
  return record;
};

/** Keeps submitting jobs at a steady rate while something happens. */
export const underLoad = async (
  deployment: Deployment,
  prefix: string,
  jobs: number,
  act: () => Promise<void>,
): Promise<ClientRecord[]> => {
  const clients: Promise<ClientRecord>[] = [];
  const balancer = startBalancer(deployment);
  const acted = sleep(600).then(act);
  for (let index = 0; index < jobs; index += 1) {
    clients.push(submitJob(balancer, `${prefix}-${index}`, 3, 150, index));
    await sleep(60);
  }
  await acted;
  const records = await Promise.all(clients);
  balancer.stop();
  return records;
};

/** How the jobs ended: `complete`, or the code and verdict of the last failure. */
export const summarize = (clients: readonly ClientRecord[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  clients.forEach(({ answers }) => {
    const { status, body } = answers[answers.length - 1] ?? { status: 0, body: {} };
    const end = status === 200 ? 'complete' : `${body['code']} ${body['verdict']}`;
    counts[end] = (counts[end] ?? 0) + 1;
  });
  return counts;
};

/** Jobs whose caller was told that nothing ran, although something had. */
export const falseRefusals = (
  clients: readonly ClientRecord[],
  records: readonly TargetRecord[],
): string[] => {
  const started = new Set(records.map(({ job }) => job));
  return clients
    .filter(({ job, answers }) => {
      const last = answers[answers.length - 1];
      return last?.body['verdict'] === 'notRun' && started.has(job);
    })
    .map(({ job }) => job);
};
