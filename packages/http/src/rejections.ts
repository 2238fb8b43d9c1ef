import { STATUS_CODES } from 'node:http';

/** Why a request was rejected or its connection closed. */
export type RejectionReason =
  | 'bodyTooLarge'
  | 'bodyTimeout'
  | 'headTooLarge'
  | 'headTimeout'
  | 'lineTooLong'
  | 'malformed'
  | 'noMemory'
  | 'tooManyConnections'
  | 'tooManyRequests'
  | 'unreadResponse';

/** Receives each rejection, for logs and metrics. */
export type RejectionListener = (rejection: {
  reason: RejectionReason;
  /** Name of the port, such as `clients`. */
  port: string;
  /** Address of the client, if it is known. */
  address?: string;
}) => void;

/** Time after which a rejected client may come back, in seconds. */
export const RETRY_AFTER_S = 1;

/** Statuses by reason. None: the connection is closed without a response. */
const STATUSES: Record<RejectionReason, number | undefined> = {
  bodyTooLarge: 413,
  bodyTimeout: 408,
  headTooLarge: 431,
  headTimeout: 408,
  lineTooLong: undefined,
  malformed: 400,
  noMemory: 503,
  tooManyConnections: 503,
  tooManyRequests: undefined,
  unreadResponse: undefined,
};

/**
 * Writes the response to a request that no handler answers.
 *
 * @param reason - why the request was rejected
 * @returns the response as it is sent, or `undefined` if the connection is to be closed without one
 */
export const renderRejection = (reason: RejectionReason): string | undefined => {
  const status = STATUSES[reason];
  if (status === undefined) return undefined;
  const body = JSON.stringify({ error: reason });
  const headers = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${body.length}`,
    ...(status === 503 ? [`retry-after: ${RETRY_AFTER_S}`] : []),
  ];
  return `${headers.join('\r\n')}\r\n\r\n${body}`;
};
