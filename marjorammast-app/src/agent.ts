import { Agent, createHttpRunner, serveAgentHttp } from '@marjorammast/agent';
import { createId, dial } from '@marjorammast/protocol';
import { agentSettingsSchema } from '@marjorammast/settings';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import { loadSettings, parseAddress, stopOnSignal } from './settings';

/** Runs an agent of the first design. */
const run = async (): Promise<void> => {
  const settings = loadSettings('agent', agentSettingsSchema);
  const { name, dataCenter, http, entries, logLevel, statsd, stopTimeoutMs } = settings;
  const log = createLog(name, logLevel);
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const agent = Agent.create({
    name,
    dataCenter,
    entries,
    dial: (address, server) => dial(address, server, traffic),
    runTask: createHttpRunner(),
    createId,
    random: Math.random,
    log,
    metrics: createMetrics(statsd, name),
    timeline: Timeline.create(name),
  });
  const { host, port } = parseAddress(http);
  await serveAgentHttp(agent, host, port, () => ({
    ...traffic,
    ...process.cpuUsage(),
    rssBytes: process.memoryUsage.rss(),
  }));
  agent.start();
  log.info({ http, dataCenter, pid: process.pid }, 'started');
  stopOnSignal(log, () => agent.stop(stopTimeoutMs));
};

void run();
