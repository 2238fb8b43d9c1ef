import { DispatchEntry, readProcessUsage } from '@marjorammast/dispatch';
import {
  createClientHttp,
  createPlatformStore,
  createReadinessHttp,
  createOperatorStateDecoder,
} from '@marjorammast/platform';
import { createRegistrationDecoder, dial, listen } from '@marjorammast/protocol';
import { dispatchSettingsSchema } from '@marjorammast/settings';
import { StoreMirror, WATCH_WAIT_MS, registerProcess } from '@marjorammast/store';
import { createPrometheusMetrics } from '@marjorammast/telemetry';
import { createDaemonLog } from './createDaemonLog';
import { guardProcess, runDaemon } from './guardProcess';
import { protectPorts } from './protectPorts';
import { serveHttp } from './serveHttp';
import { serveMetrics } from './serveMetrics';
import { loadSettings, stopOnSignal } from './settings';

/** Time that the load balancer takes to notice that the entry is not ready, in milliseconds. */
const READINESS_NOTICE_MS = 2_500;

/** Runs an entry of the dispatch design. */
const run = async (): Promise<void> => {
  const settings = loadSettings('dispatchEntry', dispatchSettingsSchema);
  const { name, dataCenter, rpc, clients, readiness, store, logLevel, stopTimeoutMs } = settings;
  const log = createDaemonLog(name, logLevel);
  guardProcess(log, process);
  const metrics = createPrometheusMetrics();
  const ports = protectPorts(settings, log, metrics);
  const answerTimes = metrics.histogram('marjorammast_job_ms', 'Time to answer a job', [
    'route',
    'outcome',
  ]);
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const forwarded = metrics.counter('marjorammast_forwarded', 'Jobs forwarded', ['answer']);
  const pauses = metrics.counter('marjorammast_pauses', 'Pauses of the process', []);
  const claims = metrics.counter('marjorammast_claimed_jobs', 'Jobs read after a pause', [
    'verdict',
  ]);
  const { forwarding, processorCores } = settings;
  const entry = DispatchEntry.create({
    name,
    dataCenter,
    dial: (address, server) => dial(address, server, traffic),
    random: Math.random,
    log,
    meter: {
      answered: (route, outcome, ms) => answerTimes.observe({ route, outcome }, ms),
      paused: () => pauses.inc({}),
      claimed: (verdict) => claims.inc({ verdict }),
    },
    readProcessorMs: () => readProcessUsage().processorMs,
    forwarding: forwarding && {
      ...forwarding,
      processorCores: processorCores.cores * processorCores.share,
      readUsage: readProcessUsage,
      meter: (answer) => forwarded.inc({ answer }),
    },
    placement: settings.placement,
    queueing: settings.queueing,
  });
  metrics.gauge('marjorammast_open_jobs', 'Jobs without an answer', () => entry.openJobs);
  metrics.gauge('marjorammast_queued_jobs', 'Jobs that wait', () => entry.dispatcher.queuedJobs);
  metrics.gauge('marjorammast_runs', 'Runs not ended', () => entry.dispatcher.outstandingRuns);
  metrics.gauge('marjorammast_agents', 'Agents attached', () => entry.attachedAgents);
  metrics.gauge('marjorammast_open_workers', 'Workers that take work', () => entry.openWorkers);
  metrics.gauge(
    'marjorammast_scarce_services',
    'Services whose free capacity on fast workers is scarce',
    () => entry.dispatcher.scarceServices,
  );
  if (forwarding) {
    const readUtilization = () => entry.utilization ?? 0;
    metrics.gauge('marjorammast_utilization', 'Processor time in use, 0 to 1', readUtilization);
  }
  const platformStore = createPlatformStore(store, log);
  const decodeOperatorState = createOperatorStateDecoder(log);
  const decodeRegistrations = createRegistrationDecoder((key) =>
    log.warn({ key }, 'malformed_registration'),
  );
  const mirror = StoreMirror.create({
    store: platformStore,
    prefix: '',
    waitMs: WATCH_WAIT_MS,
    onChange: (items, revision) => {
      entry.updatePeers(decodeRegistrations('entries', items.values()));
      entry.configure(decodeOperatorState(items), revision);
      entry.updateAgents(decodeRegistrations('agents', items.values()));
    },
    random: Math.random,
    log,
  });
  metrics.gauge('marjorammast_store_connected', '1 while the store answers', () =>
    mirror.isConnected ? 1 : 0,
  );
  metrics.gauge('marjorammast_store_answer_age_ms', 'Time since the last answer of the store', () =>
    Math.round(mirror.answerAgeMs),
  );
  await serveHttp(createReadinessHttp(entry), readiness, ports.side('readiness'));
  const clientPort = ports.main('clients');
  const clientApp = createClientHttp(entry, log, clientPort);
  const clientServer = await serveHttp(clientApp, clients, clientPort);
  await serveMetrics(metrics, settings.metrics, ports.side('metrics'));
  const rpcServer = await listen(rpc, entry.server, traffic, ports.peers);
  const address = settings.advertisedRpc ?? rpc;
  void registerProcess(
    platformStore,
    'entries',
    { name, address, dataCenter },
    { random: Math.random, log },
  );
  log.info({ clients, dataCenter, pid: process.pid }, 'started');
  stopOnSignal(log, async () => {
    // Closes the idle connections too, so that their clients send the next job to another entry.
    setTimeout(() => clientServer.close(), READINESS_NOTICE_MS);
    await entry.stop(READINESS_NOTICE_MS, stopTimeoutMs);
    mirror.stop();
    rpcServer.close();
  });
};

runDaemon(run);
