import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { BodyBudget } from './BodyBudget';
import { PagedBuffer } from './PagedBuffer';

/** Incomplete bodies at one time from which they count as a crowd. */
const CROWD = 32;

/** Chunks after which the mean size of the chunks of a body counts. */
const SAMPLED_CHUNKS = 1_024;

/**
 * Mean size of a chunk below which a body is refused in a crowd, in bytes. A chunk takes 2 us of processor
 * time whatever its size: a read of 64 kB with chunks of one byte takes 20 ms, in which all others wait.
 */
const MIN_CHUNK_BYTES = 16;

/** What became of a body. */
export type BodyResult =
  | { type: 'body'; text: string }
  /** It is longer than permitted. The rest was not read. */
  | { type: 'tooLarge' }
  /** The budget of the process is spent, or it is short of time for the chunks. The rest was not read. */
  | { type: 'noMemory' }
  /** The connection ended before the body did. */
  | { type: 'broken' };

/** The part of a request that is needed to read its body. */
type BodySource = Readable & Partial<Pick<IncomingMessage, 'headers'>>;

/** Bounds of one body. */
export type BodyBounds = {
  /** Maximum size, in bytes. */
  maxBytes: number;
  /** From which the bytes of the body are reserved while it is incomplete. */
  budget: BodyBudget;
};

/**
 * Reads the body of a request. All bytes are released when it settles.
 *
 * @param request - the request; what follows is dropped if its body is not taken whole
 * @param bounds - bounds of the body
 * @returns the text of the body, or why there is none
 */
export const readBody = (request: BodySource, bounds: BodyBounds): Promise<BodyResult> =>
  new Promise((resolve) => {
    const { maxBytes, budget } = bounds;
    let finish: (result: BodyResult) => void = resolve;
    const buffer = PagedBuffer.create(budget, () => finish({ type: 'noMemory' }));
    const announced = Number(request.headers?.['content-length']);
    let chunks = 0;
    const isWasteful = () =>
      chunks >= SAMPLED_CHUNKS &&
      buffer.length < chunks * MIN_CHUNK_BYTES &&
      budget.holders >= CROWD;
    const onData = (chunk: Buffer) => {
      chunks += 1;
      if (isWasteful()) finish({ type: 'noMemory' });
      else if (buffer.length + chunk.length > maxBytes) finish({ type: 'tooLarge' });
      else if (!buffer.append(chunk, chunk.length === announced)) finish({ type: 'noMemory' });
    };
    const onEnd = () => finish({ type: 'body', text: buffer.toText() });
    const onBreak = () => finish({ type: 'broken' });
    finish = (result) => {
      finish = () => undefined;
      request.off('data', onData).off('end', onEnd).off('error', onBreak).off('close', onBreak);
      // What is still parsed must not be held, one object a chunk, until the connection is closed.
      if (result.type !== 'body') request.resume();
      buffer.release();
      resolve(result);
    };
    if (request.destroyed) {
      onBreak();
      return;
    }
    request.on('data', onData).on('end', onEnd).on('error', onBreak).on('close', onBreak);
  });
