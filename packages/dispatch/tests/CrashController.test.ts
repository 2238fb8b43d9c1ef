import type { WorkerCrash } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { CrashController } from '../src/CrashController';
import { createTestJob, testRoute } from './support';

const JOB = 'a';

const createCrash = (worker: string, index = 0): WorkerCrash => ({
  isCertain: true,
  incarnation: worker,
  agent: worker,
  runs: [{ job: JOB, index, route: testRoute.name, isSuspect: true, wasStarted: true }],
});

const createFixture = () => {
  const job = createTestJob(2, 100);
  const controller = CrashController.create({
    findJob: (id) => (id === JOB && job.isOpen ? job : undefined),
    findRoute: () => testRoute,
    log: createLog('crashes', 'silent'),
  });
  return { job, controller };
};

describe('CrashController', () => {
  it('fails a job and confines its route once the crash budget of a task is spent', async () => {
    const { job, controller } = createFixture();
    controller.handleCrash(createCrash('w1'));
    expect(job.isOpen).toBe(true);
    expect(controller.confinement.isConfined(testRoute.name)).toBe(false);
    controller.handleCrash(createCrash('w2'));
    expect(await job.waitForOutcome()).toMatchObject({ type: 'failed' });
    expect(controller.findFailure(JOB)).toMatchObject({ type: 'failed' });
    expect(controller.confinement.isConfined(testRoute.name)).toBe(true);
  });

  // Guards against a job that fails for a task that is done, when crashes become known late.
  it('does not fail a job whose task has succeeded since', () => {
    const { job, controller } = createFixture();
    controller.handleCrash(createCrash('w1'));
    job.markDone(0);
    controller.handleCrash(createCrash('w2'));
    expect(job.isOpen).toBe(true);
    expect(controller.findFailure(JOB)).toBeUndefined();
  });
});
