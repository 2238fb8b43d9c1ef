/* eslint-disable import-x/extensions */
import { runCase } from '../support-2/Deployment.mjs';
import { sleep } from '../support-2/json.mjs';

const ENTRIES = 2;
const WORKERS = 8;
const REQUEST_PERIOD_MS = 200;
const DOWN_MS = 1_000;
const PAUSE_MS = 1_500;
const RECOVERY_MS = 12_000;

/** Reading of a worker's clock at the start of each of its lives; it starts anew at any reading. */
const CLOCK_STARTS = [476_000, 2_000];

const options = {
  entries: ENTRIES,
  workers: WORKERS,
  worker: { clockStart: (life) => CLOCK_STARTS[Math.min(life, CLOCK_STARTS.length) - 1] },
};

/** Sends jobs for some time and returns the share of them that was served. */
const measure = async (deployment, ms) => {
  const calls = [];
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt) {
    calls.push(deployment.submit(calls.length % ENTRIES, { count: 2, runMs: 100 }));
    // eslint-disable-next-line no-await-in-loop
    await sleep(REQUEST_PERIOD_MS);
  }
  const answers = await Promise.all(calls);
  return answers.filter(({ status }) => status === 200).length / answers.length;
};

/** Crashes the workers, one at a time; each starts again under its id. */
const restartWorkers = async ([worker, ...rest]) => {
  if (!worker) return;
  worker.options.record({ type: 'worker crashes', worker: worker.options.id });
  worker.crash();
  await sleep(DOWN_MS);
  await worker.restart();
  worker.options.record({ type: 'worker is back', worker: worker.options.id });
  await sleep(PAUSE_MS);
  await restartWorkers(rest);
};

const percent = (share) => `${Math.round(share * 100)} %`;

await runCase(new URL('./', import.meta.url), options, async (deployment, hasTrouble) => {
  if (!(await deployment.waitUntilServed(ENTRIES))) return { code: 2, text: 'nothing was served' };
  // With TROUBLE=final only the final fault comes.
  if (hasTrouble && process.env.TROUBLE !== 'final') await restartWorkers(deployment.workers);
  const before = await measure(deployment, 5_000);
  deployment.record({ type: 'served before the final fault', share: percent(before) });
  if (hasTrouble) {
    // The final fault strikes right after a configuration was acknowledged, here one that changes nothing.
    deployment.configure(4, [{ name: 'check', prefix: '/check/' }]);
    deployment.machines.forEach((machine) => machine.signal('SIGKILL', 1_500));
    await sleep(1_500);
  }
  await sleep(RECOVERY_MS);
  const after = await measure(deployment, 15_000);
  deployment.record({ type: 'served after recovery_s', share: percent(after) });
  const text = `${percent(before)} served before the final fault, ${percent(after)} of those sent later than 12 s after`;
  if (before < 0.25) return { code: 2, text };
  return { code: after < 0.25 ? 1 : 0, text };
});
