import type { Readable } from 'node:stream';
import type { BodyBudget } from './BodyBudget';
import { PagedBuffer } from './PagedBuffer';

/** What became of a body. */
export type BodyResult =
  | { type: 'body'; text: string }
  /** It is longer than permitted. The rest was not read. */
  | { type: 'tooLarge' }
  /** The budget of the process is spent. The rest was not read. */
  | { type: 'noMemory' }
  /** The connection ended before the body did. */
  | { type: 'broken' };

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
 * @param request - the request; it is paused if its body is not read to the end
 * @param bounds - bounds of the body
 * @returns the text of the body, or why there is none
 */
export const readBody = (request: Readable, bounds: BodyBounds): Promise<BodyResult> =>
  new Promise((resolve) => {
    const { maxBytes, budget } = bounds;
    let finish: (result: BodyResult) => void = resolve;
    const buffer = PagedBuffer.create(budget, () => finish({ type: 'noMemory' }));
    const onData = (chunk: Buffer) => {
      if (buffer.length + chunk.length > maxBytes) finish({ type: 'tooLarge' });
      else if (!buffer.append(chunk)) finish({ type: 'noMemory' });
    };
    const onEnd = () => finish({ type: 'body', text: buffer.toText() });
    const onBreak = () => finish({ type: 'broken' });
    finish = (result) => {
      finish = () => undefined;
      request.off('data', onData).off('end', onEnd).off('error', onBreak).off('close', onBreak);
      if (result.type !== 'body') request.pause();
      buffer.release();
      resolve(result);
    };
    if (request.destroyed) {
      onBreak();
      return;
    }
    request.on('data', onData).on('end', onEnd).on('error', onBreak).on('close', onBreak);
  });
