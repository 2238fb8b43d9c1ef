import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { sleep } from '@marjorammast/protocol';
import { readQueuedBytes } from './readProcess';

/** What an untrusted client sends, and whether it reads what comes back. */
export type Script = {
  /** Buffers that are written one after the other; the connection stays open afterwards. */
  parts: readonly Buffer[];
  isReading: boolean;
  /** Job that the client submits. */
  job?: string;
  /** True when the parts form whole requests. */
  isComplete?: boolean;
};

/** Connections that are opened at the same time, fewer than the kernel's backlog of a server. */
const BATCH_SIZE = 100;

/** Longest time to a connection, in milliseconds: three repetitions of the kernel's first segment. */
const CONNECT_TIMEOUT_MS = 8_000;

/** Time without any progress after which the clients count as settled, in milliseconds. */
const STALL_MS = 4_000;

/** Longest time until the clients count as settled, in milliseconds. */
const SETTLE_TIMEOUT_MS = 40_000;

const PROGRESS_PERIOD_MS = 250;

/** Number of characters of a response that are kept, enough for its status line. */
const KEPT_LENGTH = 64;

const STATUS_LINE = /^HTTP\/1\.1 (\d{3})/;

/** After these statuses, the job may run. */
const UNDECIDED_STATUSES = [200, 502, 504];

/** One connection of an untrusted client. */
class UntrustedClient {
  sentBytes = 0;

  isClosed = false;

  private isDone = false;

  private response = '';

  private constructor(
    private readonly socket: Socket,
    readonly script: Script,
  ) {}

  /** Connects, and sends in the background; a refused connection gives a closed client. */
  static async create(port: number, script: Script): Promise<UntrustedClient> {
    const socket = connect({ host: '127.0.0.1', port });
    const client = new UntrustedClient(socket, script);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      client.isClosed = true;
    });
    if (script.isReading) socket.on('data', (chunk: Buffer) => client.keep(chunk));
    else socket.pause();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
      const proceed = () => {
        clearTimeout(timer);
        resolve();
      };
      socket.once('connect', proceed);
      socket.once('close', proceed);
    });
    void client.send();
    return client;
  }

  get isFinished(): boolean {
    return this.isDone || this.isClosed;
  }

  /** True when no task of the client's job may run: it was refused or never submitted as a whole. */
  get isRefused(): boolean {
    if (!this.script.isComplete) return true;
    const status = STATUS_LINE.exec(this.response)?.[1];
    return status !== undefined && !UNDECIDED_STATUSES.includes(Number(status));
  }

  close(): void {
    this.socket.resetAndDestroy();
  }

  private keep(chunk: Buffer): void {
    if (this.response.length >= KEPT_LENGTH) return;
    this.response += chunk.toString('latin1', 0, KEPT_LENGTH);
  }

  private async send(): Promise<void> {
    for (let index = 0; index < this.script.parts.length && !this.isClosed; index += 1) {
      await this.write(this.script.parts[index] ?? Buffer.alloc(0));
    }
    this.isDone = true;
  }

  private write(part: Buffer): Promise<void> {
    return new Promise((resolve) => {
      this.socket.once('close', resolve);
      this.socket.write(part, () => {
        this.sentBytes += part.length;
        this.socket.removeListener('close', resolve);
        resolve();
      });
    });
  }
}

/** Untrusted clients that hold their connections to one or more ports of a process. */
export class ClientGroup {
  private readonly clients: UntrustedClient[] = [];

  private constructor(private readonly ports: ReadonlySet<number>) {}

  /**
   * Opens connections, spread evenly over the ports, and starts to send.
   *
   * @param ports - ports of the process
   * @param count - number of connections
   * @param createScript - returns what a client sends, by its index
   * @returns the group when each connection was opened or refused
   */
  static async create(
    ports: readonly number[],
    count: number,
    createScript: (index: number, port: number) => Script,
  ): Promise<ClientGroup> {
    const group = new ClientGroup(new Set(ports));
    for (let first = 0; first < count; first += BATCH_SIZE) {
      const size = Math.min(BATCH_SIZE, count - first);
      const batch = Array.from({ length: size }, (_, offset) => {
        const port = ports[(first + offset) % ports.length] ?? 0;
        return UntrustedClient.create(port, createScript(first + offset, port));
      });
      group.clients.push(...(await Promise.all(batch)));
    }
    return group;
  }

  /** Waits until the process has read all bytes or closed the connections, or nothing progresses. */
  async settle(): Promise<void> {
    const deadline = performance.now() + SETTLE_TIMEOUT_MS;
    let state = '';
    let changedAt = performance.now();
    while (performance.now() < deadline && performance.now() - changedAt < STALL_MS) {
      await sleep(PROGRESS_PERIOD_MS);
      const queuedBytes = readQueuedBytes(this.ports);
      if (queuedBytes === 0 && this.clients.every((client) => client.isFinished)) return;
      const sentBytes = this.clients.reduce((sum, client) => sum + client.sentBytes, 0);
      const openClients = this.clients.filter((client) => !client.isClosed).length;
      const nextState = `${sentBytes} ${openClients} ${queuedBytes}`;
      if (nextState !== state) changedAt = performance.now();
      state = nextState;
    }
  }

  /** Jobs of which no task may run. */
  get refusedJobs(): string[] {
    return this.clients.flatMap(({ script: { job }, isRefused }) =>
      job !== undefined && isRefused ? [job] : [],
    );
  }

  /** Resets all connections. */
  close(): void {
    this.clients.forEach((client) => client.close());
  }
}
