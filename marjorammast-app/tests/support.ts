import { readFileSync } from 'node:fs';
import { callEntry } from '../src/callEntry';
import type { EntryAnswer } from '../src/callEntry';
import { Deployment } from '../src/local/Deployment';
import { SAMPLE_ENVIRONMENT } from '../src/samples';

/** Start or end of a task, as a target has recorded it. */
export type TargetRecord = {
  at: number;
  event: string;
  target: string;
  job: string;
  index: number;
};

/** Answers and errors that one client got for one job. */
export type ClientRecord = {
  job: string;
  sentAt: number;
  answers: EntryAnswer[];
  errors: string[];
};

export const DATA_CENTERS = ['bangkok-north', 'ayutthaya'];

const MAX_ATTEMPTS = 8;

const RETRY_PAUSE_MS = 300;

/** Time between two readiness checks of the load balancer, in milliseconds. */
const BALANCER_PERIOD_MS = 200;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts a deployment of three entries and four agents as separate processes. */
export const startDeployment = (): Promise<Deployment> =>
  Deployment.create({ entries: 3, agents: 4, dataCenters: DATA_CENTERS }, SAMPLE_ENVIRONMENT);

/** Reads the starts and ends of tasks that the targets have recorded. */
export const readRecords = (deployment: Deployment): TargetRecord[] =>
  readFileSync(deployment.records, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TargetRecord);

/** Finds the tasks that were started more than once. */
export const findRepeatedStarts = (records: readonly TargetRecord[]): string[] => {
  const counts = new Map<string, number>();
  records
    .filter(({ event }) => event === 'start')
    .forEach(({ job, index }) => {
      const key = `${job}#${index}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    });
  return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
};

/** Stands in for the platform's load balancer, which tracks the entries that are ready. */
type Balancer = { readyAddresses: string[]; stop: () => void };

const startBalancer = (deployment: Deployment): Balancer => {
  const balancer: Balancer = { readyAddresses: [...deployment.addresses], stop: () => undefined };
  const checkReadiness = async (): Promise<void> => {
    const states = await Promise.all(
      deployment.addresses.map(async (address) => {
        const answer = await callEntry(address, 'GET', '/health/ready').catch(() => undefined);
        return { address, isReady: answer?.status === 200 };
      }),
    );
    balancer.readyAddresses = states.filter(({ isReady }) => isReady).map(({ address }) => address);
  };
  const timer = setInterval(() => void checkReadiness(), BALANCER_PERIOD_MS);
  balancer.stop = () => clearInterval(timer);
  return balancer;
};

/** Submits one job to the ready entries in turn until an answer is final, which is any but 503. */
const submitJob = async (
  balancer: Balancer,
  key: string,
  tasks: number,
  runMs: number,
  firstEntry: number,
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
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const { readyAddresses } = balancer;
    const address =
      readyAddresses[(firstEntry + attempt) % Math.max(1, readyAddresses.length)] ?? '';
    try {
      const answer = await callEntry(address, 'POST', '/v1/jobs', body);
      record.answers.push(answer);
      if (answer.status !== 503) return record;
    } catch (error) {
      record.errors.push((error as Error).message);
    }
    await sleep(RETRY_PAUSE_MS);
  }
  return record;
};

/** Submits jobs at a steady rate while an action runs. */
export const runUnderLoad = async (
  deployment: Deployment,
  prefix: string,
  jobs: number,
  action: () => Promise<void>,
): Promise<ClientRecord[]> => {
  const clients: Promise<ClientRecord>[] = [];
  const balancer = startBalancer(deployment);
  const actionEnded = sleep(600).then(action);
  for (let index = 0; index < jobs; index += 1) {
    clients.push(submitJob(balancer, `${prefix}-${index}`, 3, 150, index));
    await sleep(60);
  }
  await actionEnded;
  const records = await Promise.all(clients);
  balancer.stop();
  return records;
};

/** Counts the jobs by their last answer: `complete`, or the code and verdict of the failure. */
export const countOutcomes = (clients: readonly ClientRecord[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  clients.forEach(({ answers }) => {
    const { status, body } = answers[answers.length - 1] ?? { status: 0, body: {} };
    const outcome = status === 200 ? 'complete' : `${body['code']} ${body['verdict']}`;
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  });
  return counts;
};

/** Finds the jobs whose client was told that nothing has run although a task has started. */
export const findFalseRefusals = (
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
