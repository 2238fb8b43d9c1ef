import { Entry, createEntryHttp, placeFastest } from '@marjorammast/entry';
import { createId, dial, listen } from '@marjorammast/protocol';
import { entrySettingsSchema } from '@marjorammast/settings';
import { createEtcdStore } from '@marjorammast/store';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import { serveHttp } from './serveHttp';
import { loadSettings, stopOnSignal } from './settings';

/** Runs an entry of the first design. */
const run = async (): Promise<void> => {
  const settings = loadSettings('entry', entrySettingsSchema);
  const { name, dataCenter, rpc, http, prefix, logLevel, statsd, stopTimeoutMs } = settings;
  const log = createLog(name, logLevel);
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const entry = Entry.create({
    name,
    dataCenter,
    address: rpc,
    prefix,
    store: createEtcdStore(settings.store),
    dial: (address, server) => dial(address, server, traffic),
    place: placeFastest,
    createId,
    log,
    metrics: createMetrics(statsd, name),
    timeline: Timeline.create(name),
  });
  const rpcServer = await listen(rpc, entry.server, traffic);
  const app = createEntryHttp(entry);
  app.get('/health/usage', (context) =>
    context.json({ ...traffic, ...process.cpuUsage(), rssBytes: process.memoryUsage.rss() }),
  );
  const httpServer = await serveHttp(app, http);
  entry.start();
  log.info({ http, rpc, dataCenter, pid: process.pid }, 'started');
  stopOnSignal(log, async () => {
    await entry.stop(stopTimeoutMs);
    rpcServer.close();
    await new Promise((resolve) => {
      httpServer.close(resolve);
      setTimeout(resolve, 1_000);
    });
  });
};

void run();
