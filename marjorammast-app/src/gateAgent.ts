import { randomBytes } from 'node:crypto';
import { GateAgent, robustSlowness } from '@marjorammast/gate';
import { createPlatformStore, createWorkerClient, serveWorkerApi } from '@marjorammast/platform';
import { createSuspendAwareClock, listen } from '@marjorammast/protocol';
import { gateSettingsSchema } from '@marjorammast/settings';
import { AgentRegistration } from '@marjorammast/store';
import { createPrometheusMetrics } from '@marjorammast/telemetry';
import { createDaemonLog } from './createDaemonLog';
import { guardProcess, runDaemon } from './guardProcess';
import { protectPorts } from './protectPorts';
import { serveMetrics } from './serveMetrics';
import { loadSettings, parseAddress, stopOnSignal } from './settings';

/** Length of the random identifier of a process, in bytes. */
const PROCESS_ID_BYTES = 8;

/** Runs an agent of the dispatch design. */
const run = async (): Promise<void> => {
  const settings = loadSettings('gateAgent', gateSettingsSchema);
  const { name, dataCenter, rpc, worker, workerReports, logLevel, stopTimeoutMs } = settings;
  const { placement } = settings;
  const log = createDaemonLog(name, logLevel);
  guardProcess(log, process);
  const metrics = createPrometheusMetrics();
  const ports = protectPorts(settings, log, metrics);
  const runTimes = metrics.histogram('marjorammast_run_ms', 'Time of a run', ['how']);
  const assignments = metrics.counter('marjorammast_assigned', 'Runs by answer', ['answer']);
  const ends = metrics.counter('marjorammast_run_ends', 'Runs by what showed their end', ['sign']);
  const contradictions = metrics.counter(
    'marjorammast_ends_contradicted',
    'Runs that were listed as running after their end was reported',
    [],
  );
  const lateStarts = metrics.counter(
    'marjorammast_late_starts',
    'Starts without an answer that were carried out, by the incarnation that did so',
    ['incarnation'],
  );
  const crashes = metrics.counter('marjorammast_worker_crashes', 'Crashes of the worker', []);
  const lostByCrash = metrics.counter('marjorammast_runs_lost', 'Runs on crashed workers', []);
  const superseded = metrics.counter(
    'marjorammast_superseded',
    'Commands that the worker refused because it has received a higher fencing token',
    [],
  );
  const unqueued = metrics.counter(
    'marjorammast_unqueued',
    'Tasks that waited for room and were given back to their entries',
    ['reason'],
  );
  const registration = AgentRegistration.create({
    store: createPlatformStore(settings.store, log),
    agent: { name, address: settings.advertisedRpc ?? rpc, dataCenter },
    processId: randomBytes(PROCESS_ID_BYTES).toString('hex'),
    random: Math.random,
    log,
  });
  const agent = GateAgent.create({
    name,
    dataCenter,
    worker: createWorkerClient(worker, log),
    clock: createSuspendAwareClock(),
    log,
    renewGeneration: () => registration.renew(),
    slownessMeasure: placement?.robustSlowness ? robustSlowness : undefined,
    meter: {
      assigned: (admitted, declined, reason) => {
        assignments.inc({ answer: 'taken' }, admitted);
        if (declined > 0) assignments.inc({ answer: reason }, declined);
      },
      ended: (how, ms, sign) => {
        runTimes.observe({ how }, ms);
        ends.inc({ sign });
      },
      endContradicted: () => contradictions.inc(),
      startedLate: (incarnation) => lateStarts.inc({ incarnation }),
      crashed: (lostRuns) => {
        crashes.inc();
        lostByCrash.inc(lostRuns);
      },
      superseded: () => superseded.inc(),
      queued: (tasks) => assignments.inc({ answer: 'queued' }, tasks),
      unqueued: (reason) => unqueued.inc({ reason }),
    },
  });
  metrics.gauge(
    'marjorammast_worker_slowness',
    'Run time over estimated run time of the worker, as entries are told',
    () => agent.workerSlowness,
  );
  metrics.gauge('marjorammast_queued_tasks', 'Tasks that wait for room', () => agent.queuedTasks);
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const rpcServer = await listen(rpc, agent.server, traffic, ports.peers);
  const { host, port } = parseAddress(workerReports);
  await serveWorkerApi(agent, host, port, log, ports.side('workerReports'));
  await serveMetrics(metrics, settings.metrics, ports.side('metrics'));
  log.info({ rpc, worker, dataCenter, pid: process.pid }, 'started');
  void registration.register().then((generation) => agent.raiseGeneration(generation));
  stopOnSignal(log, async () => {
    await agent.stop(stopTimeoutMs);
    rpcServer.close();
  });
};

runDaemon(run);
