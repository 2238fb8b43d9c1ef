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

/** Submits one job, at one entry after the other, until one answers for good. */
export const submitJob = async (
  deployment: Deployment,
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
    const { addresses } = deployment;
    const address = addresses[(first + attempt) % addresses.length] ?? '';
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
  const acted = sleep(600).then(act);
  for (let index = 0; index < jobs; index += 1) {
    clients.push(submitJob(deployment, `${prefix}-${index}`, 3, 150, index));
    await sleep(60);
  }
  await acted;
  return Promise.all(clients);
};

/** Jobs that are complete. */
export const countComplete = (clients: readonly ClientRecord[]): number =>
  clients.filter(({ answers }) => answers.some(({ status }) => status === 200)).length;

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
