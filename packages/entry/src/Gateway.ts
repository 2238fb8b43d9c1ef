import { CallError, failure, jobId, shardOf, sleep } from '@marjorammast/protocol';
import type { Answer, Result, Submission, Verdict } from '@marjorammast/protocol';
import { OWNER_RETRY_MS } from './constants';
import type { Reply } from './Job';

/** What the gateway needs of the entry. */
export type GatewayHost = {
  name: string;
  ownerOf: (shard: number) => string;
  /** Runs or joins a job of this entry. */
  submitHere: (submission: Submission, deadlineLeftMs: number, isFirst: boolean) => Promise<Reply>;
  /** Sends a job to its owner and waits for the answer. */
  submitTo: (
    owner: string,
    submission: Submission,
    deadlineLeftMs: number,
    isFirst: boolean,
  ) => Promise<Result<'submit'>>;
  /** Reads the map again. */
  refresh: () => Promise<unknown>;
};

type Delivery = { reply: Reply; mayHaveArrived: boolean };

/** Brings a caller's job to its owner, whoever that is, until it is answered. */
export class Gateway {
  private constructor(private readonly host: GatewayHost) {}

  /**
   * @param host - what the gateway needs of the entry
   * @returns the gateway
   */
  static create(host: GatewayHost): Gateway {
    return new Gateway(host);
  }

  /**
   * Gets a job answered. Sending it again is safe: owners know a job by its key, and an owner that
   * cannot know what an earlier one started says so.
   *
   * @param submission - checked submission
   * @param isFirst - true when the caller vouches that the key was never sent before
   * @returns the answer
   */
  async submit(submission: Submission, isFirst: boolean): Promise<Answer> {
    const deadlineAt = performance.now() + submission.deadlineMs;
    const shard = shardOf(jobId(submission.team, submission.key));
    // Another copy of the key may have run, unless the caller vouches that there is none.
    let verdict: Verdict = isFirst ? 'notRun' : 'mayHaveRun';
    for (;;) {
      const leftMs = deadlineAt - performance.now();
      if (leftMs <= 0) {
        const failed = failure('unavailable', verdict, 'no owner of the key could be reached');
        return { type: 'failed', failure: failed };
      }
      const { reply, mayHaveArrived } = await this.deliver(
        shard,
        submission,
        leftMs,
        verdict === 'notRun',
      );
      if (reply.type === 'answer') return reply.answer;
      if (mayHaveArrived) verdict = 'mayHaveRun';
      await Promise.all([this.host.refresh(), sleep(OWNER_RETRY_MS)]);
    }
  }

  private async deliver(
    shard: number,
    submission: Submission,
    leftMs: number,
    isFirst: boolean,
  ): Promise<Delivery> {
    const { host } = this;
    const owner = host.ownerOf(shard);
    try {
      if (owner === host.name) {
        const reply = await host.submitHere(submission, leftMs, isFirst);
        return { reply, mayHaveArrived: true };
      }
      const result = await host.submitTo(owner, submission, leftMs, isFirst);
      if (result.type === 'answer') return { reply: result, mayHaveArrived: true };
      return { reply: { type: 'notOwner' }, mayHaveArrived: true };
    } catch (error) {
      const mayHaveArrived = !(error instanceof CallError) || error.fault !== 'notSent';
      return { reply: { type: 'notOwner' }, mayHaveArrived };
    }
  }
}
