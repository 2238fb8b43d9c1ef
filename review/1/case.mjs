/* eslint-disable import-x/extensions -- plain modules of Node.js, without a build */
import {
  createConfiguration,
  createJob,
  findSimultaneousRuns,
  sleep,
} from '../support/Deployment.mjs';
import { HAS_TROUBLE, runCase } from '../support/runCase.mjs';

const HOST = 'booths.example';
const PREFIX = '/confirm/';

/** Time for which the entry stands still, in milliseconds. */
const FREEZE_MS = 3_500;

/** Time for which a client waits for an answer, in milliseconds. */
const DEADLINE_MS = 1_500;

/** Time after which a client without an answer sends its job again, in milliseconds (`resend_ms`). */
const RESEND_MS = 1_300;

/** Run time of a task, in milliseconds. */
const RUN_MS = 1_200;

const CLIENT_COUNT = 8;

const CLIENT_INTERVAL_MS = 50;

const createId = (index) => `c0ffee${String(index).padStart(10, '0')}`;

const scenario = async (deployment) => {
  const [frozen, other] = deployment.entries;
  const body = createJob({ spec: 'confirm', count: 4, cpu: 3_100, estimateMs: RUN_MS });
  const options = { host: HOST, body, deadlineMs: DEADLINE_MS, patienceMs: DEADLINE_MS };
  const playClient = async (index) => {
    await sleep(index * CLIENT_INTERVAL_MS);
    const path = `${PREFIX}${createId(index)}`;
    const { status } = await deployment.request(frozen, 'POST', path, options);
    if (![0, 502, 504].includes(status)) return;
    await sleep(RESEND_MS);
    await deployment.request(other, 'POST', path, options);
  };
  if (HAS_TROUBLE) deployment.signal(frozen, 'SIGSTOP');
  const clients = Array.from({ length: CLIENT_COUNT }, (_, index) => playClient(index));
  if (HAS_TROUBLE) {
    await sleep(FREEZE_MS);
    deployment.signal(frozen, 'SIGCONT');
  }
  await Promise.all(clients);
  await sleep(1_000);
};

const judge = (lines) =>
  findSimultaneousRuns(lines).map(
    ({ task, at, run, other, since }) =>
      `TWICE: ${task} began at ${at} as ${run} while ${other} was running since ${since}`,
  );

await runCase({
  folder: import.meta.url,
  options: {
    entryCount: 3,
    workerCount: 6,
    zones: ['north', 'east', 'central'],
    runMs: () => RUN_MS,
  },
  configuration: createConfiguration(3, [{ name: 'confirm', host: HOST, prefix: PREFIX }]),
  scenario,
  judge,
});
