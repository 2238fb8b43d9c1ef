import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { BodyBudget } from './BodyBudget';
import { PagedBuffer } from './PagedBuffer';

/** Number of incomplete bodies from which bodies in small chunks are refused. */
const MANY_BODIES = 32;

/** Number of chunks of a body from which their mean size is checked. */
const MIN_CHECKED_CHUNKS = 1_024;

/**
 * Mean size of a chunk below which a body is refused beside many others, in bytes. Each chunk takes about 2 us of
 * processor time whatever its size, so bodies in tiny chunks delay all other requests.
 */
const MIN_CHUNK_BYTES = 16;

/** Result of reading a body. */
export type BodyResult =
  | { type: 'body'; text: string }
  /** It is longer than permitted. The rest was not read. */
  | { type: 'tooLarge' }
  /** The budget of the process is spent, or there are too many small chunks. The rest was not read. */
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
 * @param request - the request; the rest of its body is dropped if it is not read whole
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
    const hasTinyChunks = () =>
      chunks >= MIN_CHECKED_CHUNKS &&
      buffer.length < chunks * MIN_CHUNK_BYTES &&
      budget.holders >= MANY_BODIES;
    const onData = (chunk: Buffer) => {
      chunks += 1;
      if (hasTinyChunks()) finish({ type: 'noMemory' });
      else if (buffer.length + chunk.length > maxBytes) finish({ type: 'tooLarge' });
      else if (!buffer.append(chunk, chunk.length === announced)) finish({ type: 'noMemory' });
    };
    const onEnd = () => finish({ type: 'body', text: buffer.toText() });
    const onBreak = () => finish({ type: 'broken' });
    finish = (result) => {
      finish = () => undefined;
      request.off('data', onData).off('end', onEnd).off('error', onBreak).off('close', onBreak);
      // Without a reader, the stream would keep one object for each further chunk until the connection is closed.
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
