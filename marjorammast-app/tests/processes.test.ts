import { callEntry } from '../src/callEntry';
import type { Deployment } from '../src/local/Deployment';
import {
  findFalseRefusals,
  readRecords,
  startDeployment,
  findRepeatedStarts,
  countOutcomes,
  runUnderLoad,
} from './support';
import type { ClientRecord } from './support';

const JOBS = 60;

/**
 * Time after a data centre was taken out in which starts there are still allowed, in milliseconds.
 */
const TAKE_OUT_GRACE_MS = 3_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('separate processes under load', () => {
  let deployment: Deployment;

  beforeAll(async () => {
    deployment = await startDeployment();
  }, 60_000);

  afterAll(async () => {
    await deployment.stop();
  }, 60_000);

  const expectGuarantees = (clients: readonly ClientRecord[]): void => {
    const records = readRecords(deployment);
    expect(findRepeatedStarts(records)).toEqual([]);
    expect(findFalseRefusals(clients, records)).toEqual([]);
    expect(clients.filter(({ answers }) => answers.length === 0)).toEqual([]);
  };

  it('complete every job when nothing fails', async () => {
    const clients = await runUnderLoad(deployment, 'calm', JOBS, async () => undefined);
    expectGuarantees(clients);
    expect(countOutcomes(clients)).toEqual({ complete: JOBS });
  }, 60_000);

  it.each([0, 1])(
    'lose no request when entry %i is stopped with SIGTERM',
    async (index) => {
      const clients = await runUnderLoad(deployment, `stop${index}`, JOBS, async () => {
        const program = deployment.entries[index];
        program?.process.kill('SIGTERM');
        if (program) expect(await deployment.waitForExit(program)).toBe(0);
        await deployment.startEntry(index);
      });
      expectGuarantees(clients);
      expect(countOutcomes(clients)).toEqual({ complete: JOBS });
      expect(clients.flatMap((client) => client.errors)).toEqual([]);
    },
    60_000,
  );

  it('lose no request when an agent is stopped with SIGTERM', async () => {
    const clients = await runUnderLoad(deployment, 'stopagent', JOBS, async () => {
      const program = deployment.agents[0];
      program?.process.kill('SIGTERM');
      if (program) expect(await deployment.waitForExit(program)).toBe(0);
      await deployment.startAgent(0);
    });
    expectGuarantees(clients);
    expect(countOutcomes(clients)).toEqual({ complete: JOBS });
  }, 60_000);

  it('start no task twice when an entry is killed', async () => {
    await deployment.waitForAgents();
    const clients = await runUnderLoad(deployment, 'kill', JOBS, async () => {
      deployment.entries[1]?.process.kill('SIGKILL');
      await sleep(4_000);
      await deployment.startEntry(1);
    });
    expectGuarantees(clients);
  }, 60_000);

  it('start no task twice when an entry is frozen until another entry has taken over its shards', async () => {
    await deployment.waitForAgents();
    const clients = await runUnderLoad(deployment, 'freeze', JOBS, async () => {
      deployment.entries[2]?.process.kill('SIGSTOP');
      await sleep(5_000);
      deployment.entries[2]?.process.kill('SIGCONT');
    });
    expectGuarantees(clients);
  }, 60_000);

  it('start no task twice when agents are killed and frozen', async () => {
    await deployment.waitForAgents();
    const clients = await runUnderLoad(deployment, 'agents', JOBS, async () => {
      deployment.agents[0]?.process.kill('SIGKILL');
      deployment.agents[1]?.process.kill('SIGSTOP');
      await sleep(4_000);
      deployment.agents[1]?.process.kill('SIGCONT');
      await deployment.startAgent(0);
    });
    expectGuarantees(clients);
  }, 60_000);

  it('complete every job while the store is down', async () => {
    await deployment.waitForAgents();
    const setStoreDown = (isDown: boolean) =>
      callEntry(deployment.store.http, 'PUT', '/faults', { isDown });
    const clients = await runUnderLoad(deployment, 'store', JOBS, async () => {
      await setStoreDown(true);
      await sleep(6_000);
    });
    const later = await runUnderLoad(deployment, 'store2', JOBS / 2, async () => undefined);
    await setStoreDown(false);
    expectGuarantees([...clients, ...later]);
    expect(countOutcomes(clients)).toEqual({ complete: JOBS });
    expect(countOutcomes(later)).toEqual({ complete: JOBS / 2 });
  }, 60_000);

  it('start no task in a data centre that was taken out', async () => {
    const outDataCenter = 'ayutthaya';
    const targetsTakenOut = deployment.targets
      .filter(({ dataCenter }) => dataCenter === outDataCenter)
      .map(({ name }) => name);
    let acceptedAt = 0;
    let returnedAt = 0;
    const [entry = ''] = deployment.addresses;
    const clients = await runUnderLoad(deployment, 'out', 2 * JOBS, async () => {
      const answer = await callEntry(entry, 'POST', `/v1/data-centers/${outDataCenter}/out`);
      expect(answer.body['type']).toBe('accepted');
      acceptedAt = Date.now();
      await sleep(TAKE_OUT_GRACE_MS + 2_000);
      returnedAt = Date.now();
      await callEntry(entry, 'POST', `/v1/data-centers/${outDataCenter}/in`);
    });
    const lateStarts = readRecords(deployment)
      .filter(({ event, target }) => event === 'start' && targetsTakenOut.includes(target))
      .filter(({ at }) => at > acceptedAt + TAKE_OUT_GRACE_MS && at < returnedAt);
    expect(lateStarts).toEqual([]);
    expectGuarantees(clients);
    expect(countOutcomes(clients)).toEqual({ complete: 2 * JOBS });
  }, 60_000);
});
