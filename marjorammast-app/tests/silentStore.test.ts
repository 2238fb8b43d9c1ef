import { createPlatformStore } from '@marjorammast/platform';
import { sleep } from '@marjorammast/protocol';
import { PlatformStoreStandIn } from '@marjorammast/standins';
import { StoreMirror, WATCH_WAIT_MS } from '@marjorammast/store';
import { createLog } from '@marjorammast/telemetry';
import { localPorts } from '../src/local/PortBlock';
import { serveHttp } from '../src/serveHttp';
import { LoopbackProxy } from '../src/soak/LoopbackProxy';

/** Time after which a process whose connections have broken is to follow the operators again, in milliseconds. */
const CONTACT_MS = 3_000;

const POLL_MS = 20;

describe('a store whose open connections fall silent', () => {
  const cleanups: (() => void)[] = [];

  afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

  // Guards against an old configuration that stays in use while nothing shows that the store is not heard.
  it('is heard again on new connections within 3 s', async () => {
    const log = createLog('test', 'silent');
    const store = PlatformStoreStandIn.create();
    const [port, proxyPort] = [await localPorts.next(), await localPorts.next()];
    const server = await serveHttp(store.routes(), `127.0.0.1:${port}`);
    const proxy = await LoopbackProxy.create(proxyPort, port);
    cleanups.push(
      () => proxy.close(),
      () => server.close(),
    );
    const client = createPlatformStore(`127.0.0.1:${proxyPort}`, log);
    let newest = 0;
    // All connections of the client are open, as after the start of a process.
    await Promise.all([client.read('a'), client.read('b'), client.read('c')]);
    const mirror = StoreMirror.create({
      store: client,
      prefix: '',
      waitMs: WATCH_WAIT_MS,
      onChange: (items) => {
        newest = items.size;
      },
      random: () => 1,
      log,
    });
    cleanups.push(() => mirror.stop());
    store.put('a', '1');
    await sleep(200);
    expect(newest).toBe(1);
    // The watch has just begun, so that it waits for its whole time.
    proxy.stallConnections();
    store.put('b', '2');
    const silentAt = performance.now();
    while (newest < 2 && performance.now() < silentAt + 2 * CONTACT_MS) await sleep(POLL_MS);
    expect(performance.now() - silentAt).toBeLessThan(CONTACT_MS);
  }, 20_000);
});
