// An entry wakes and starts jobs whose clients left long ago and have handed them in again elsewhere.
/* eslint import-x/extensions: off, no-await-in-loop: off */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  HOST,
  PREFIX,
  createConfiguration,
  createId,
  createJob,
  send,
} from '../support-3/client.mjs';
import { splitAddress } from '../support-3/http.mjs';
import { hasTrouble, playCase } from '../support-3/main.mjs';
import { ClientPath } from '../support-3/path.mjs';

/** Figures of the site: the deadline, the time until a job is handed in again, and the way to a client and back. */
const DEADLINE_MS = 1_500;
const RESEND_MS = 1_300;
const ROUND_TRIP_MS = 6;

/** Longest time by which a kernel delays an acknowledgement. */
const ACK_DELAY_MS = Number(process.env.ACK_DELAY_MS ?? 40);

/** The site file has 4,000 at most, for one entry. */
const FREEZE_MS = 3_200;

const CLIENTS = 8;
const FIRST_JOB_AFTER_MS = 300;
const JOB_PERIOD_MS = 20;
const END_MS = 3_000;

const options = {
  zones: ['north', 'east'],
  workers: 4,
  capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
  configuration: createConfiguration(),
};

const smallJob = createJob({ count: 1, cpu: 500, ms: 30 });

const job = createJob({ count: 4, cpu: 500, ms: 1_200 });

/** A client with one open connection, which it keeps. */
class Client {
  constructor(address, record) {
    this.record = record;
    this.answers = 0;
    this.socket = connect(splitAddress(address));
    this.socket.on('data', (chunk) => {
      this.answers += (chunk.toString().match(/HTTP\/1\.1 200/g) ?? []).length;
    });
    this.socket.on('error', () => undefined);
  }

  submit(id, body) {
    const text = JSON.stringify(body);
    this.record.note(`client: POST of ${id} on its open connection to the first entry`);
    this.socket.write(
      `POST ${PREFIX}${id} HTTP/1.1\r\nHost: ${HOST}\r\nContent-Type: application/json\r\n` +
        `X-Marjorammast-Deadline-Ms: ${DEADLINE_MS}\r\n` +
        `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
    );
  }

  /** Hands in a job. Without an answer in time, leaves and hands it in again at the other entry. */
  async run(other) {
    const id = createId();
    const before = this.answers;
    this.submit(id, job);
    const end = performance.now() + DEADLINE_MS;
    while (this.answers === before && performance.now() < end) await sleep(5);
    if (this.answers > before) {
      this.record.note(`client: 200 to POST of ${id}`);
      return;
    }
    this.record.note(`client: no answer to POST of ${id}, leaves`);
    this.socket.end();
    await sleep(RESEND_MS);
    await send(this.record, other, 'POST', id, { body: job, deadlineMs: DEADLINE_MS });
  }
}

/** Finds the tasks that had two runs at the same time. */
const findDoubleRuns = (runs) => {
  const active = new Map();
  return runs.flatMap(({ task, worker, type, at }) => {
    const workers = active.get(task) ?? new Set();
    active.set(task, workers);
    if (type !== 'start') {
      workers.delete(worker);
      return [];
    }
    workers.add(worker);
    return workers.size > 1 ? [`${task} runs on ${[...workers].join(' and ')} at ${at} ms`] : [];
  });
};

const play = async (deployment, record) => {
  const path = new ClientPath(deployment.frontend(0), {
    acknowledgementMs: ROUND_TRIP_MS + ACK_DELAY_MS,
  });
  const address = await path.start();
  const clients = Array.from({ length: CLIENTS }, () => new Client(address, record));
  clients.forEach((client) => client.submit(createId(), smallJob));
  await sleep(1_000);
  if (hasTrouble) {
    deployment.freeze('entry-0', FREEZE_MS);
    path.suspend();
    setTimeout(() => path.resume(), FREEZE_MS);
  }
  await sleep(FIRST_JOB_AFTER_MS);
  await Promise.all(
    clients.map(async (client, index) => {
      await sleep(index * JOB_PERIOD_MS);
      await client.run(deployment.frontend(1));
    }),
  );
  await sleep(END_MS);
  path.stop();
  clients.forEach(({ socket }) => socket.destroy());
  return findDoubleRuns(record.runs);
};

await playCase(new URL('record.txt', import.meta.url), options, play);
