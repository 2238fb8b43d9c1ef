/* eslint-disable import-x/extensions -- plain modules of Node.js, without a build */
import { createConfiguration, createJob, sleep } from '../support/Deployment.mjs';
import { HAS_TROUBLE, runCase } from '../support/runCase.mjs';
import { TcpProxy } from '../support/TcpProxy.mjs';

const HOST = 'booths.example';

/** Time after which a machine is in touch again, in milliseconds. */
const CONTACT_MS = 3_000;

/** Time after its acknowledgement from which a configuration is in force, in milliseconds. */
const CONFIG_APPLY_MS = 2_000;

/** Spare time beyond both bounds before a request is judged, in milliseconds. */
const MARGIN_MS = 200;

const RUN_MS = 100;

const DEADLINE_MS = 1_500;

/** Time between two requests to each entry, in milliseconds. */
const PROBE_PERIOD_MS = 150;

/** Time for which requests are sent, in milliseconds. */
const PROBE_MS = 7_000;

const KEPT = { name: 'hold', host: HOST, prefix: '/hold/' };
const DROPPED = { name: 'lookup', host: HOST, prefix: '/lookup/' };
const ADDED = { name: 'confirm', host: HOST, prefix: '/confirm/' };

const proxies = [];

/** Lets each machine reach the store through a proxy of its own. */
const storeAddressOf = (_, address) => {
  const [ip, port] = address.split(':');
  const proxy = new TcpProxy();
  const proxyAddress = `${ip.replace(/\d+$/, String(150 + proxies.length))}:${port}`;
  proxies.push(proxy);
  proxy.listen(proxyAddress, address);
  return proxyAddress;
};

/** Sends one request for the added and one for the dropped route, and returns what became of them. */
const probe = async (deployment, entry, number) => {
  const sentAt = deployment.now;
  const body = createJob({ spec: 'lookup', count: 1, cpu: 3_100, estimateMs: RUN_MS });
  const options = { host: HOST, body, deadlineMs: DEADLINE_MS, patienceMs: DEADLINE_MS };
  const id = `c0ffee${String(number).padStart(10, '0')}`;
  const [added, dropped] = await Promise.all([
    deployment.request(entry, 'GET', ADDED.prefix, { host: HOST }),
    deployment.request(entry, 'POST', `${DROPPED.prefix}${id}`, options),
  ]);
  return { entry: entry.name, sentAt, added: added.status, dropped: dropped.status };
};

const scenario = async (deployment) => {
  await sleep(1_000);
  deployment.configure(createConfiguration(5, [KEPT, DROPPED]));
  await sleep(200);
  const silentAt = deployment.now;
  if (HAS_TROUBLE) {
    const connections = proxies.reduce((sum, proxy) => sum + proxy.silence(), 0);
    deployment.record('silent', { connections });
  }
  await sleep(200);
  deployment.configure(createConfiguration(8, [KEPT, ADDED]));
  const acknowledgedAt = deployment.now;
  const probes = [];
  await deployment.waitUntil('all requests sent', async () => {
    deployment.entries.forEach((entry) => probes.push(probe(deployment, entry, probes.length + 1)));
    await sleep(PROBE_PERIOD_MS);
    return deployment.now > silentAt + PROBE_MS;
  });
  const results = await Promise.all(probes);
  proxies.forEach((proxy) => proxy.close());
  return { silentAt, acknowledgedAt, results };
};

const judge = (_, { silentAt, acknowledgedAt, results }) => {
  const inTouchFrom = silentAt + CONTACT_MS;
  const bound = Math.max(inTouchFrom, acknowledgedAt + CONFIG_APPLY_MS) + MARGIN_MS;
  return results
    .filter(({ sentAt }) => sentAt > bound)
    .flatMap(({ entry, sentAt, added, dropped }) => {
      const since = `${sentAt - acknowledgedAt} ms after the acknowledgement, in touch for ${sentAt - inTouchFrom} ms`;
      return [
        ...(added === 404 ? [`CONFIG: ${entry} refuses the added route with 404 ${since}`] : []),
        ...(dropped === 200 ? [`CONFIG: ${entry} runs the dropped route ${since}`] : []),
      ];
    });
};

await runCase({
  folder: import.meta.url,
  options: {
    entryCount: 3,
    workerCount: 6,
    zones: ['north', 'east', 'central'],
    runMs: () => RUN_MS,
    storeAddressOf,
  },
  configuration: createConfiguration(3, [KEPT, DROPPED]),
  scenario,
  judge,
});
