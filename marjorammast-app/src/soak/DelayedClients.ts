import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { sleep } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ROUTE_HOST } from '../local/DispatchDeployment';
import type { DispatchDeployment, TaskSpec } from '../local/DispatchDeployment';

/** Number of clients of each paused entry. */
const CLIENTS = 3;

/** Time for which such a client waits before it leaves, and until it submits its job elsewhere, in milliseconds. */
const WAIT_MS = 300;
const RETRY_DELAY_MS = 1_300;

/** Longest time from the end of the pause to the bytes of a job, and from then to the end of its connection. */
const MAX_DELAY_MS = 600;

const TASKS = 2;

const SPEC: TaskSpec = { runMs: 1_000, cpu: 200 };

/** What the clients need from the soak. */
export type DelayedClientsOptions = {
  deployment: DispatchDeployment;
  /** Number of entries of the deployment. */
  entries: number;
  log: Log;
};

const renderRequest = (id: string): string => {
  const step = { count: TASKS, cpu: SPEC.cpu, mem_mb: 10, est_runtime_ms: SPEC.runMs };
  const body = JSON.stringify({ spec: JSON.stringify(SPEC), steps: [step], best_effort: true });
  const head = [
    `POST /claims/${id} HTTP/1.1`,
    `Host: ${ROUTE_HOST}`,
    'Content-Type: application/json',
    `Content-Length: ${body.length}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
};

/**
 * Clients whose bytes are on their way while their entry is paused. A network that gets no acknowledgement delivers them
 * some time after the pause, and the ends of the connections later; the clients have left and submitted their jobs to
 * another entry. No task may run at both.
 */
export class DelayedClients {
  private count = 0;

  private constructor(private readonly options: DelayedClientsOptions) {}

  /**
   * @param options - what the clients need from the soak
   * @returns clients that have sent nothing
   */
  static create(options: DelayedClientsOptions): DelayedClients {
    return new DelayedClients(options);
  }

  /**
   * Sends jobs to an entry that is paused now, and to another one.
   *
   * @param entry - index of the entry
   * @param pauseMs - length of the pause, in milliseconds
   */
  async send(entry: number, pauseMs: number): Promise<void> {
    const clients = Array.from({ length: CLIENTS }, (_, index) =>
      this.sendJob(entry, pauseMs, index / (CLIENTS - 1)),
    );
    await Promise.all(clients);
  }

  /** Sends one job; `part`, from 0 to 1, sets its delays. */
  private async sendJob(entry: number, pauseMs: number, part: number): Promise<void> {
    const { deployment, entries, log } = this.options;
    this.count += 1;
    const id = `d${this.count.toString(16).padStart(15, '0')}`;
    const [host, port] = (await deployment.addressOf(`entry-${entry}-clients`)).split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    // The entry may end while it is paused; the job is then submitted to the other one alone.
    const logFailure = (error: Error) =>
      log.info({ job: id, detail: error.message }, 'call_broken');
    socket.on('error', logFailure);
    const other = (entry + 1) % entries;
    await Promise.all([
      this.deliver(socket, id, pauseMs + MAX_DELAY_MS * part, MAX_DELAY_MS * (1 - part)),
      sleep(WAIT_MS + RETRY_DELAY_MS)
        .then(() => deployment.submit(other, id, TASKS, SPEC))
        .catch(logFailure),
    ]);
  }

  private async deliver(
    socket: Socket,
    id: string,
    delayMs: number,
    endDelayMs: number,
  ): Promise<void> {
    await sleep(delayMs);
    socket.write(renderRequest(id));
    await sleep(endDelayMs);
    socket.destroy();
  }
}
