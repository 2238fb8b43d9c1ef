import type { IncomingMessage } from 'node:http';

/** Characters of a request line and of the empty line at the end beside method and path. */
const LINE_CHARACTERS = '  HTTP/1.1\r\n\r\n'.length;

/** Characters of a header line beside name and value. */
const HEADER_CHARACTERS = ': \r\n'.length;

/** Bytes by which the computed size of a head may differ from the real one: its spaces are not known. */
const SPACE_TOLERANCE_BYTES = 512;

const headSizeOf = ({ method = '', url = '', rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_CHARACTERS / 2,
    method.length + url.length + LINE_CHARACTERS,
  );

/**
 * @param request - a request
 * @returns its Content-Length, in bytes; 0 if it has none
 */
export const contentLengthOf = ({ headers }: IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

/**
 * @param request - a request
 * @returns true if its body has a transfer coding, so that the head does not tell its size
 */
export const hasChunkedBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined;

/**
 * Computes where a request ends in the bytes of its connection. Bytes beyond belong to the next request.
 *
 * @param request - the request, of which the head was read
 * @param start - position at which it starts
 * @param bytesRead - bytes of the connection that were read
 * @returns the position of its end; of a chunked request that of its head, since its end is not known
 */
export const findRequestEnd = (
  request: IncomingMessage,
  start: number,
  bytesRead: number,
): number => {
  if (hasChunkedBody(request)) return bytesRead;
  const end = start + headSizeOf(request) + contentLengthOf(request);
  return Math.abs(bytesRead - end) <= SPACE_TOLERANCE_BYTES ? bytesRead : end;
};
