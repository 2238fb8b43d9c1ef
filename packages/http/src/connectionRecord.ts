import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { match } from 'ts-pattern';

/** State of one connection of a client at the last inspection. */
export type ConnectionRecord = {
  socket: Socket;
  /** Requests whose response has not been sent whole. */
  openRequests: number;
  /** The latest request, until it is complete and answered. */
  request: IncomingMessage | undefined;
  response: ServerResponse | undefined;
  /** Position in the bytes of the connection at which the latest request ends, as far as it is known. */
  requestEnd: number;
  /** Bytes of the latest request's head, at most. */
  headBytes: number;
  /** True once a request has arrived. */
  isUsed: boolean;
  /** Time of the accept or of the end of the last response, in milliseconds. */
  since: number;
  /** Bytes read at the last inspection. */
  seenBytes: number;
  /** Time without a further byte, in milliseconds. */
  quietMs: number;
  /** Bytes waiting to be sent at the last inspection. */
  unsentBytes: number;
  /** Time without progress of what is to be sent, in milliseconds. */
  unsentMs: number;
};

/** Idle: no request. Incomplete: a request has not ended. Waiting: a whole request has no response. */
export type ConnectionState = 'idle' | 'incomplete' | 'waiting';

/**
 * Number of bytes after a request that do not count as the start of the next one. The parsed request does not show
 * the spaces in the lines of its head, so its end is not known exactly.
 */
const END_TOLERANCE_BYTES = 512;

/**
 * Upper bound on the memory for each byte of a head. Heads of many short lines take this much, a single long line
 * takes one byte for each.
 */
const MEMORY_PER_HEAD_BYTE = 10;

/** Bytes that the kernel may hold for a connection that is not read while its response is unsent. */
const UNREAD_BYTES = 128 * 1024;

/** Bytes that each request is assumed to have sent already, so that a new connection is not the slowest. */
const INITIAL_BYTES = 1_024;

/**
 * @param socket - the connection
 * @param now - time of the accept, in milliseconds
 * @returns the record of a connection without a request
 */
export const createConnectionRecord = (socket: Socket, now: number): ConnectionRecord => ({
  socket,
  openRequests: 0,
  request: undefined,
  response: undefined,
  requestEnd: 0,
  headBytes: 0,
  isUsed: false,
  since: now,
  seenBytes: 0,
  quietMs: 0,
  unsentBytes: 0,
  unsentMs: 0,
});

/** True while the body of the latest request has not ended. */
export const isReadingBody = ({ request }: ConnectionRecord): boolean =>
  request !== undefined && !request.complete;

/** Bytes received after the end of the latest request. */
const partialBytes = ({ socket, requestEnd }: ConnectionRecord): number =>
  Math.max(0, socket.bytesRead - requestEnd);

/**
 * @param record - a connection
 * @returns its state
 */
export const stateOf = (record: ConnectionRecord): ConnectionState => {
  const isReading = isReadingBody(record);
  if (record.openRequests > (isReading ? 1 : 0)) return 'waiting';
  const tolerance = record.isUsed ? END_TOLERANCE_BYTES : 0;
  return isReading || partialBytes(record) > tolerance ? 'incomplete' : 'idle';
};

/**
 * Estimates the memory that a connection takes for an incomplete head or an unread response. Bodies have a
 * separate budget.
 *
 * @param record - a connection
 * @param maxHeaderBytes - maximum size of a request head, in bytes
 * @returns the memory, in bytes
 */
export const estimateMemory = (record: ConnectionRecord, maxHeaderBytes: number): number => {
  if (record.unsentBytes > 0) return UNREAD_BYTES;
  const headBytes = isReadingBody(record) ? record.headBytes : partialBytes(record);
  return match(stateOf(record))
    .with('incomplete', () => Math.min(headBytes, maxHeaderBytes) * MEMORY_PER_HEAD_BYTE)
    .with('idle', 'waiting', () => 0)
    .exhaustive();
};

/** Bytes that the incomplete request has received for each millisecond. */
const rateOf = ({ socket, requestEnd, headBytes, since }: ConnectionRecord, now: number): number =>
  (Math.max(headBytes, socket.bytesRead - requestEnd) + INITIAL_BYTES) / (now - since + 1);

/**
 * Orders the connections that may be closed for others: those without a request, idle for the longest time
 * first, then those with an incomplete request that have made the least progress. Connections that wait
 * for a response are left out.
 *
 * @param records - all connections of a port
 * @param now - present time, in milliseconds
 * @returns the connections that may be closed, first to close first
 */
export const orderForClosing = (
  records: Iterable<ConnectionRecord>,
  now: number,
): ConnectionRecord[] => {
  const ranked = [...records].map((record) => ({ record, state: stateOf(record) }));
  const idle = ranked.filter(({ state }) => state === 'idle').map(({ record }) => record);
  const incomplete = ranked
    .filter(({ state }) => state === 'incomplete')
    .map(({ record }) => ({ record, rate: rateOf(record, now) }))
    .sort((left, right) => left.rate - right.rate)
    .map(({ record }) => record);
  return [...idle.sort((left, right) => left.since - right.since), ...incomplete];
};
