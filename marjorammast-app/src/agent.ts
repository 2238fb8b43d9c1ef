import { Agent, createAgentHttp, createHttpRunner } from '@marjorammast/agent';
import { createId, dial } from '@marjorammast/protocol';
import { agentSettingsSchema } from '@marjorammast/settings';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import { loadSettings, serveHttp, stopOnSignal } from './daemon';

const run = async (): Promise<void> => {
  const settings = loadSettings('agent', agentSettingsSchema);
  const { name, dataCenter, http, entries, logLevel, statsd, stopTimeoutMs } = settings;
  const log = createLog(name, logLevel);
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const agent = Agent.create({
    name,
    dataCenter,
    entries,
    dial: (address, handlers) => dial(address, handlers, traffic),
    runTask: createHttpRunner(),
    createId,
    random: Math.random,
    log,
    metrics: createMetrics(statsd, name),
    timeline: Timeline.create(name),
  });
  const app = createAgentHttp(agent);
  app.get('/health/usage', (context) =>
    context.json({ ...traffic, ...process.cpuUsage(), rssBytes: process.memoryUsage.rss() }),
  );
  await serveHttp(app, http);
  agent.start();
  log.info({ http, dataCenter, pid: process.pid }, 'started');
  stopOnSignal(log, () => agent.stop(stopTimeoutMs));
};

void run();
