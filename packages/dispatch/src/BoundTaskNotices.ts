import type { BoundTaskRows } from '@marjorammast/protocol';
import { BOUND_NOTICE_WAIT_MS, DEADLINE_MARGIN_MS } from './constants';
import type { PeerClient } from './PeerClient';

/** What the notices need of a peer client. */
export type BoundTaskNoticeClient = Pick<PeerClient, 'peerNames' | 'tellBoundTasks'>;

/** A call to one entry. Rows are added until it begins. */
type NoticeCall = { rows: BoundTaskRows; hasBegun: boolean; ended: Promise<void> };

/** Waits for a promise, but not longer than the given time in milliseconds. */
const waitAtMost = async (promise: Promise<unknown>, ms: number): Promise<void> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms);
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
};

/**
 * Tells the other entries of the bound tasks of jobs that this entry has ended unfinished, since a copy of
 * such a job at another entry must not start these tasks elsewhere.
 */
export class BoundTaskNotices {
  /** Rows of the present turn of the event loop. */
  private turn: { rows: BoundTaskRows; sent: Promise<void> } | undefined;

  /** The newest call to each entry that has not ended. */
  private readonly lastCalls = new Map<string, NoticeCall>();

  private isHalted = false;

  private constructor(private readonly client: BoundTaskNoticeClient) {}

  /**
   * @param client - calls the other entries
   * @returns an object that has sent nothing
   */
  static create(client: BoundTaskNoticeClient): BoundTaskNotices {
    return new BoundTaskNotices(client);
  }

  /** True while an entry is being told. */
  get isSending(): boolean {
    return this.turn !== undefined || this.lastCalls.size > 0;
  }

  /**
   * Tells all other entries of bound tasks, in one call for all tasks of a turn of the event loop. Waits for their
   * answers for a short time at most, and not so long that the answer to the client would be late.
   *
   * @param rows - rows of job, task index, name of the agent and identifier of its worker
   * @param deadlineAt - monotonic time of the client's deadline, in milliseconds
   */
  async tell(rows: BoundTaskRows, deadlineAt: number): Promise<void> {
    if (rows.length === 0 || this.isHalted) return;
    this.turn ??= { rows: [], sent: this.sendTurn() };
    this.turn.rows.push(...rows);
    const leftMs = deadlineAt - performance.now() - DEADLINE_MARGIN_MS / 2;
    await waitAtMost(this.turn.sent, Math.max(0, Math.min(BOUND_NOTICE_WAIT_MS, leftMs)));
  }

  /** Sends nothing any more. */
  halt(): void {
    this.isHalted = true;
    this.lastCalls.clear();
  }

  private async sendTurn(): Promise<void> {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const rows = this.turn?.rows ?? [];
    this.turn = undefined;
    if (this.isHalted) return;
    await Promise.all(this.client.peerNames.map((name) => this.send(name, rows)));
  }

  /** Tells one entry, after the call to it that is in progress. Returns the end of the call with the rows. */
  private send(name: string, rows: BoundTaskRows): Promise<void> {
    const last = this.lastCalls.get(name);
    if (last && !last.hasBegun) {
      last.rows.push(...rows);
      return last.ended;
    }
    const call: NoticeCall = { rows: [...rows], hasBegun: false, ended: Promise.resolve() };
    this.lastCalls.set(name, call);
    call.ended = this.callAfter(last?.ended, name, call);
    return call.ended;
  }

  private async callAfter(
    previous: Promise<void> | undefined,
    name: string,
    call: NoticeCall,
  ): Promise<void> {
    await previous;
    call.hasBegun = true;
    if (!this.isHalted) await this.client.tellBoundTasks(name, call.rows);
    if (this.lastCalls.get(name) === call) this.lastCalls.delete(name);
  }
}
