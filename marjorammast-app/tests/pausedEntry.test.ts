import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { sleep } from '@marjorammast/protocol';
import { DispatchDeployment, ROUTE_HOST } from '../src/local/DispatchDeployment';

const PAUSE_MS = 2_500;

/** Time from the pause until the clients send the jobs, in milliseconds. */
const SENT_AFTER_MS = 200;

/** Time until a client leaves, and from then until it submits its job to another entry, in milliseconds. */
const WAIT_MS = 500;
const RESEND_MS = 600;

const JOBS = 4;

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** A client with a connection that it keeps. */
class Client {
  private text = '';

  private constructor(private readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString();
    });
    socket.on('error', () => undefined);
  }

  static async create(address: string): Promise<Client> {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return new Client(socket);
  }

  submit(id: string, tasks: number, runMs: number): void {
    this.write(this.render(id, tasks, runMs));
  }

  write(text: string): void {
    this.socket.write(text);
  }

  render(id: string, tasks: number, runMs: number): string {
    const step = { count: tasks, cpu: 100, mem_mb: 10, est_runtime_ms: runMs };
    const spec = JSON.stringify({ runMs, cpu: 100 });
    const body = JSON.stringify({ spec, steps: [step], best_effort: true });
    const head = [
      `POST /claims/${id} HTTP/1.1`,
      `Host: ${ROUTE_HOST}`,
      'Content-Type: application/json',
      'X-Marjorammast-Deadline-Ms: 4000',
      `Content-Length: ${body.length}`,
    ];
    return `${head.join('\r\n')}\r\n\r\n${body}`;
  }

  leave(): void {
    this.socket.end();
  }

  /** Status codes of the answers so far. */
  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));
  }
}

describe('an entry that stood still, as a process', () => {
  let deployment: DispatchDeployment;
  let nextId = 1;

  beforeAll(async () => {
    deployment = await DispatchDeployment.create(2, 3);
    await Promise.all([0, 1].map((entry) => deployment.waitForWorkers(entry, 3)));
  });

  afterAll(() => deployment.stop());

  const takeId = (): string => {
    nextId += 1;
    return idOf(nextId);
  };

  const openClients = async (count: number): Promise<Client[]> => {
    const address = await deployment.addressOf('entry-0-clients');
    return Promise.all(Array.from({ length: count }, () => Client.create(address)));
  };

  const pause = async (during: () => Promise<void>): Promise<void> => {
    const [entry] = deployment.entries;
    entry?.process.kill('SIGSTOP');
    await Promise.all([sleep(PAUSE_MS), during()]);
    entry?.process.kill('SIGCONT');
  };

  const findOverlappingRuns = (): string[] => {
    const events = deployment.workers.flatMap(({ events: list }) => list);
    const counts = new Map<string, number>();
    return events
      .sort((a, b) => a.at - b.at)
      .flatMap(({ task, type }) => {
        const count = (counts.get(task) ?? 0) + (type === 'start' ? 1 : -1);
        counts.set(task, count);
        return count > 1 ? [task] : [];
      });
  };

  // Guards against tasks that run at two entries: the jobs arrive once the entry has resumed, before the ends of the
  // connections of the clients that have left since.
  it.each([
    [0, 50],
    [0, 400],
    [700, 50],
    [700, 1_000],
  ])(
    'starts no job that runs elsewhere, read after %i ms, %i ms before the ends of the connections',
    async (readAfterMs, endAfterMs) => {
      const clients = await openClients(JOBS);
      clients.forEach((client) => client.submit(takeId(), 1, 20));
      await deployment.waitUntil('answered', async () =>
        clients.every(({ statuses }) => statuses.length === 1),
      );
      const ids = clients.map(takeId);
      const submitted: Promise<number>[] = [];
      await pause(async () => {
        await sleep(SENT_AFTER_MS + WAIT_MS + RESEND_MS);
        ids.forEach((id) =>
          submitted.push(
            deployment.submit(1, id, 2, { runMs: 2_000, cpu: 100 }).then(({ status }) => status),
          ),
        );
      });
      await sleep(readAfterMs);
      clients.forEach((client, index) => client.submit(ids[index] ?? '', 2, 2_000));
      await sleep(endAfterMs);
      clients.forEach((client) => client.leave());
      expect(await Promise.all(submitted)).toEqual(ids.map(() => 200));
      expect(findOverlappingRuns()).toEqual([]);
    },
  );

  // Guards against the same when half of a request was read before the pause, or it follows another one at once.
  it.each(['half before the pause', 'pipelined'])(
    'starts no job that runs elsewhere, %s',
    async (form) => {
      const [client] = await openClients(1);
      if (!client) throw new Error('no client');
      const id = takeId();
      const text = client.render(id, 2, 2_000);
      const isHalf = form !== 'pipelined';
      const cut = isHalf ? text.length - 20 : 0;
      client.write(text.slice(0, cut));
      await sleep(100);
      const submitted: Promise<number>[] = [];
      await pause(async () => {
        await sleep(SENT_AFTER_MS + WAIT_MS + RESEND_MS);
        submitted.push(
          deployment.submit(1, id, 2, { runMs: 2_000, cpu: 100 }).then(({ status }) => status),
        );
      });
      const first = isHalf ? '' : client.render(takeId(), 1, 100);
      client.write(first + text.slice(cut));
      await sleep(400);
      client.leave();
      expect(await Promise.all(submitted)).toEqual([200]);
      expect(findOverlappingRuns()).toEqual([]);
    },
  );

  it('serves all jobs that are sent after it, on kept connections and on new ones', async () => {
    const clients = await openClients(25);
    await pause(async () => undefined);
    await sleep(20);
    clients.forEach((client) => client.submit(takeId(), 1, 20));
    const others = await openClients(25);
    others.forEach((client) => client.submit(takeId(), 1, 20));
    const all = [...clients, ...others];
    await deployment.waitUntil('answered', async () =>
      all.every(({ statuses }) => statuses.length === 1),
    );
    expect(all.flatMap(({ statuses }) => statuses)).toEqual(all.map(() => 200));
    all.forEach((client) => client.leave());
  });
});
