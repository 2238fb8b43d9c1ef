import { CallError, failure, jobId, shardOf, sleep } from '@marjorammast/protocol';
import type { Answer, Result, Submission, Verdict } from '@marjorammast/protocol';
import { OWNER_RETRY_MS } from './constants';
import type { Reply } from './Job';

/** Dependencies of the gateway. */
export type GatewayHost = {
  name: string;
  ownerOf: (shard: number) => string;
  /** Submits a job to this entry as its owner. */
  submitHere: (submission: Submission, deadlineLeftMs: number, isFirst: boolean) => Promise<Reply>;
  /** Submits a job to another entry as its owner. */
  submitTo: (
    owner: string,
    submission: Submission,
    deadlineLeftMs: number,
    isFirst: boolean,
  ) => Promise<Result<'submit'>>;
  /** Reads the cluster map from the store. */
  refresh: () => Promise<unknown>;
};

/** Reply of an owner; `mayHaveArrived` is false only if the submission was certainly not sent. */
type Delivery = { reply: Reply; mayHaveArrived: boolean };

/**
 * Forwards a client's job to the entry that owns it, and retries at the current owner until the
 * deadline.
 */
export class Gateway {
  private constructor(private readonly host: GatewayHost) {}

  /**
   * @param host - dependencies
   * @returns the gateway
   */
  static create(host: GatewayHost): Gateway {
    return new Gateway(host);
  }

  /**
   * Submits a job to its owner and waits for the answer. Repeating the submission is safe: an owner
   * recognizes a job by its key, and an owner that cannot know what a previous owner started fails
   * the job instead of running it.
   *
   * @param submission - validated submission
   * @param isFirst - true when the client guarantees that the key was never submitted before
   * @returns the answer
   */
  async submit(submission: Submission, isFirst: boolean): Promise<Answer> {
    const deadlineAt = performance.now() + submission.deadlineMs;
    const shard = shardOf(jobId(submission.team, submission.key));
    // An earlier submission of the key may have run, unless the client guarantees that there was
    // none.
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
