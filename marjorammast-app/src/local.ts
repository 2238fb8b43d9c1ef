import Table from 'cli-table3';
import { callEntry } from './callEntry';
import { Deployment } from './local/Deployment';
import { SAMPLE_ENVIRONMENT } from './samples';

/** Expected and actual result of one sample request, and its duration in milliseconds. */
type SampleResult = { name: string; expected: string; actual: string; ms: number };

/** Time after its creation in which a sample job may run, in milliseconds. */
const NOT_AFTER_MS = 60_000;

const createSampleJob = (key: string, team: string, kind: string, tasks: object[], extra = {}) => ({
  key,
  team,
  kind,
  tasks,
  notAfter: Date.now() + NOT_AFTER_MS,
  ...extra,
});

const createTasks = (count: number, runMs: number): object[] =>
  Array.from({ length: count }, () => ({ payload: { runMs } }));

const runSamples = async (deployment: Deployment): Promise<SampleResult[]> => {
  const rows: SampleResult[] = [];
  const [first = '', second = '', third = ''] = deployment.addresses;

  const check = async (name: string, expected: string, action: () => Promise<string>) => {
    const startedAt = performance.now();
    const actual = await action().catch((error: Error) => error.message);
    rows.push({
      name,
      expected,
      actual,
      ms: Math.round(performance.now() - startedAt),
    });
  };
  const submit = async (address: string, job: object, query = ''): Promise<string> => {
    const { status, body } = await callEntry(address, 'POST', `/v1/jobs${query}`, job);
    const results = body['results'] as unknown[] | undefined;
    if (results) return `complete, ${results.length} results`;
    return `${status} ${String(body['code'] ?? body['status'])} ${String(body['verdict'] ?? '')}`.trim();
  };

  const urgent = createSampleJob('claim-1', 'siam-haulage', 'receipt-check', createTasks(24, 80), {
    urgent: true,
  });
  await check('Siam: urgent job of 24 tasks', 'complete, 24 results', () => submit(first, urgent));
  await check('Siam: the same job again, at another entry', 'complete, 24 results', () =>
    submit(second, urgent),
  );
  await check('Siam: the same key, another content', '409 conflict notRun', () =>
    submit(third, { ...urgent, tasks: createTasks(3, 10) }),
  );
  await check('Siam: filing confirmation, runs at most once', '200 complete', async () => {
    const body = {
      team: 'siam-haulage',
      service: 'filing',
      method: 'confirm',
      payload: { runMs: 60 },
    };
    const answer = await callEntry(second, 'POST', '/v1/requests', body);
    return `${answer.status} ${String(answer.body['status'])}`;
  });
  await check('Kalahari: 40 slot holds', 'complete, 40 results', () =>
    submit(third, createSampleJob('hold-1', 'kalahari-booths', 'slot-hold', createTasks(40, 120))),
  );
  await check('Kalahari: one task always fails', '502 taskFailed ran', () =>
    submit(
      first,
      createSampleJob('hold-2', 'kalahari-booths', 'slot-hold', [{ payload: { fail: true } }]),
    ),
  );
  await check('Kalahari: a kind nobody runs', '400 invalid notRun', () =>
    submit(
      second,
      createSampleJob('hold-3', 'kalahari-booths', 'no-such-kind', createTasks(1, 10)),
    ),
  );
  await check('Siam: cancelled while it runs', '499 cancelled mayHaveRun', async () => {
    const job = createSampleJob('claim-2', 'siam-haulage', 'vat-valuation', createTasks(6, 3_000));
    const answer = submit(first, job);
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    await callEntry(third, 'DELETE', '/v1/jobs/siam-haulage/claim-2');
    return answer;
  });
  const takenOut = 'ayutthaya';
  await check(`operators take ${takenOut} out`, 'accepted', async () => {
    const { body } = await callEntry(first, 'POST', `/v1/data-centers/${takenOut}/out`);
    return String(body['type']);
  });
  await check('Kalahari: 40 holds in the other data centre', 'bangkok-north only', async () => {
    const job = createSampleJob('hold-4', 'kalahari-booths', 'slot-hold', createTasks(40, 60));
    const { body } = await callEntry(second, 'POST', '/v1/jobs', job);
    const results = body['results'] as { target: string }[];
    const usedNames = new Set(results.map(({ target }) => target));
    const usedTargets = deployment.targets.filter(({ name }) => usedNames.has(name));
    return `${[...new Set(usedTargets.map(({ dataCenter }) => dataCenter))].join(', ')} only`;
  });
  await check(`operators bring ${takenOut} back`, 'accepted', async () => {
    const { body } = await callEntry(third, 'POST', `/v1/data-centers/${takenOut}/in`);
    return String(body['type']);
  });
  await check('Siam: 170 tasks on all targets', 'complete, 170 results', () =>
    submit(
      second,
      createSampleJob('claim-3', 'siam-haulage', 'receipt-check', createTasks(170, 50)),
    ),
  );
  return rows;
};

/** Prints the results as a table; returns true if all of them are as expected. */
const printResults = (rows: readonly SampleResult[]): boolean => {
  const table = new Table({ head: ['check', 'result', 'ms', ''] });
  rows.forEach(({ name, expected, actual, ms }) => {
    table.push([name, actual, ms, actual === expected ? 'ok' : `expected: ${expected}`]);
  });
  process.stdout.write(`${table.toString()}\n`);
  return rows.every(({ expected, actual }) => actual === expected);
};

const printHints = (deployment: Deployment): void => {
  const [first = ''] = deployment.addresses;
  const command = `node marjorammast-app/dist/marjorammast.js`;
  process.stdout.write(
    [
      '',
      `entries   ${deployment.addresses.join('  ')}`,
      `store     ${deployment.store.http}`,
      `logs      ${deployment.folder}`,
      '',
      `${command} status --entry ${first}`,
      `${command} timeline --entry ${first} --since 30s`,
      `${command} data-center out ayutthaya --entry ${first}`,
      `kill -TERM ${deployment.entries[0]?.process.pid}   # ends ${deployment.entries[0]?.name} gracefully`,
      'Press Ctrl-C to end.',
      '',
    ].join('\n'),
  );
};

const run = async (): Promise<void> => {
  process.stdout.write('Starting a store stand-in, 3 entries, 6 agents and 6 targets ...\n');
  const size = { entries: 3, agents: 6, dataCenters: ['bangkok-north', 'ayutthaya'] };
  const deployment = await Deployment.create(size, SAMPLE_ENVIRONMENT);
  const isAsExpected = printResults(await runSamples(deployment));
  if (process.argv.includes('--keep')) {
    printHints(deployment);
    await new Promise((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
  }
  await deployment.stop();
  process.exit(isAsExpected ? 0 : 1);
};

run().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exit(1);
});
