import { callEntry } from '../src/callEntry';
import type { Deployment } from '../src/local/Deployment';
import {
  falseRefusals,
  readRecords,
  startDeployment,
  startedTwice,
  summarize,
  underLoad,
} from './support';
import type { ClientRecord } from './support';

const JOBS = 60;

/** Longest time in which a start may follow an accepted withdrawal, in milliseconds. */
const WITHDRAWAL_MS = 3_000;

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

  const expectPromises = (clients: readonly ClientRecord[]): void => {
    const records = readRecords(deployment);
    expect(startedTwice(records)).toEqual([]);
    expect(falseRefusals(clients, records)).toEqual([]);
    expect(clients.filter(({ answers }) => answers.length === 0)).toEqual([]);
  };

  it('answer every job while nothing fails', async () => {
    const clients = await underLoad(deployment, 'calm', JOBS, async () => undefined);
    expectPromises(clients);
    expect(summarize(clients)).toEqual({ complete: JOBS });
  }, 60_000);

  it.each([0, 1])(
    'lose no request when entry %i is stopped with SIGTERM',
    async (index) => {
      const clients = await underLoad(deployment, `stop${index}`, JOBS, async () => {
        const program = deployment.entries[index];
        program?.process.kill('SIGTERM');
        if (program) expect(await deployment.untilExit(program)).toBe(0);
        await deployment.startEntry(index);
      });
      expectPromises(clients);
      expect(summarize(clients)).toEqual({ complete: JOBS });
      expect(clients.flatMap((client) => client.errors)).toEqual([]);
    },
    60_000,
  );

  it('lose no request when an agent is stopped with SIGTERM', async () => {
    const clients = await underLoad(deployment, 'stopagent', JOBS, async () => {
      const program = deployment.agents[0];
      program?.process.kill('SIGTERM');
      if (program) expect(await deployment.untilExit(program)).toBe(0);
      await deployment.startAgent(0);
    });
    expectPromises(clients);
    expect(summarize(clients)).toEqual({ complete: JOBS });
  }, 60_000);

  it('start nothing twice when an entry is killed', async () => {
    await deployment.untilAgentsConnected();
    const clients = await underLoad(deployment, 'kill', JOBS, async () => {
      deployment.entries[1]?.process.kill('SIGKILL');
      await sleep(4_000);
      await deployment.startEntry(1);
    });
    expectPromises(clients);
  }, 60_000);

  it('start nothing twice when an entry is frozen past its takeover', async () => {
    await deployment.untilAgentsConnected();
    const clients = await underLoad(deployment, 'freeze', JOBS, async () => {
      deployment.entries[2]?.process.kill('SIGSTOP');
      await sleep(5_000);
      deployment.entries[2]?.process.kill('SIGCONT');
    });
    expectPromises(clients);
  }, 60_000);

  it('start nothing twice when an agent is killed or frozen', async () => {
    await deployment.untilAgentsConnected();
    const clients = await underLoad(deployment, 'agents', JOBS, async () => {
      deployment.agents[0]?.process.kill('SIGKILL');
      deployment.agents[1]?.process.kill('SIGSTOP');
      await sleep(4_000);
      deployment.agents[1]?.process.kill('SIGCONT');
      await deployment.startAgent(0);
    });
    expectPromises(clients);
  }, 60_000);

  it('go on while the store is down', async () => {
    await deployment.untilAgentsConnected();
    const switchStore = (isDown: boolean) =>
      callEntry(deployment.store.http, 'PUT', '/faults', { isDown });
    const clients = await underLoad(deployment, 'store', JOBS, async () => {
      await switchStore(true);
      await sleep(6_000);
    });
    const later = await underLoad(deployment, 'store2', JOBS / 2, async () => undefined);
    await switchStore(false);
    expectPromises([...clients, ...later]);
    expect(summarize(clients)).toEqual({ complete: JOBS });
    expect(summarize(later)).toEqual({ complete: JOBS / 2 });
  }, 60_000);

  it('start nothing in a data centre that is out', async () => {
    const out = 'ayutthaya';
    const outTargets = deployment.targets
      .filter(({ dataCenter }) => dataCenter === out)
      .map(({ name }) => name);
    let acceptedAt = 0;
    let returnedAt = 0;
    const [entry = ''] = deployment.addresses;
    const clients = await underLoad(deployment, 'out', 2 * JOBS, async () => {
      const taken = await callEntry(entry, 'POST', `/v1/data-centers/${out}/out`);
      expect(taken.body['type']).toBe('accepted');
      acceptedAt = Date.now();
      await sleep(WITHDRAWAL_MS + 2_000);
      returnedAt = Date.now();
      await callEntry(entry, 'POST', `/v1/data-centers/${out}/in`);
    });
    const late = readRecords(deployment)
      .filter(({ event, target }) => event === 'start' && outTargets.includes(target))
      .filter(({ at }) => at > acceptedAt + WITHDRAWAL_MS && at < returnedAt);
    expect(late).toEqual([]);
    expectPromises(clients);
    expect(summarize(clients)).toEqual({ complete: 2 * JOBS });
  }, 60_000);
});
