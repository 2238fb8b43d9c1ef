import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  createConnectionRecord,
  estimateMemory,
  isReadingBody,
  orderForClosing,
  stateOf,
} from './connectionRecord';
import type { ConnectionRecord, ConnectionState } from './connectionRecord';
import type { Protection } from './createProtection';
import { findRequestEnd, hasChunkedBody } from './requestEnd';
import { renderRejection } from './rejections';
import type { RejectionReason } from './rejections';

/** Period in which all connections of a port are inspected, in milliseconds. */
export const INSPECTION_PERIOD_MS = 500;

/** Number of accepted connections after which all are inspected at once, since each may bring a head. */
const ACCEPTS_PER_INSPECTION = 64;

/** Minimum time between two sorts of all connections, in milliseconds. */
const ORDER_PERIOD_MS = 20;

/** Maximum number of requests without a response on one connection. */
const MAX_OPEN_REQUESTS = 16;

/** Largest ratio of bytes on the wire to bytes of a skipped body. A chunk of one byte takes 6 bytes. */
const MAX_FRAMING_FACTOR = 8;

/** A connection and its estimated memory, in bytes. */
type MemoryHolder = { record: ConnectionRecord; bytes: number };

/** Connections of one port. Decides which are closed when there are too many, or when they hold too much. */
export class ConnectionTable {
  private readonly records = new Map<Socket, ConnectionRecord>();

  private readonly perAddress = new Map<string, number>();

  /** Connections that may be closed for others, first to close last, with their states when they were put in order. */
  private order: { record: ConnectionRecord; state: ConnectionState }[] = [];

  private orderedAt = -Infinity;

  private inspectedAt = performance.now();

  private acceptsSinceInspection = 0;

  private constructor(private readonly protection: Protection) {}

  /**
   * @param protection - limits of the port
   * @returns a table without connections
   */
  static create(protection: Protection): ConnectionTable {
    return new ConnectionTable(protection);
  }

  /** Number of connections. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Adds a connection. Another one, or this one, is closed if there are too many.
   *
   * @param socket - the accepted connection
   */
  add(socket: Socket): void {
    const record = createConnectionRecord(socket, performance.now());
    const address = socket.remoteAddress ?? '';
    const { maxConnections, maxConnectionsPerAddress } = this.protection.limits;
    const ofAddress = (this.perAddress.get(address) ?? 0) + 1;
    const hasRoom = () => this.records.size < maxConnections || this.closeOne();
    // No other connection is closed for one that is refused.
    if (ofAddress > maxConnectionsPerAddress || !hasRoom()) {
      this.report(record, 'tooManyConnections');
      socket.destroy();
      return;
    }
    this.records.set(socket, record);
    this.perAddress.set(address, ofAddress);
    socket.once('close', () => this.remove(record, address));
    this.acceptsSinceInspection += 1;
    if (this.acceptsSinceInspection >= ACCEPTS_PER_INSPECTION) this.inspect();
  }

  /**
   * Records a request whose head has arrived.
   *
   * @param request - the request
   * @param response - its response
   * @returns false when the request is not to be handled, since its connection was closed
   */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    const record = this.records.get(socket);
    // The parser handles all requests of a read, even after the connection was closed.
    if (!record || socket.destroyed) return false;
    record.openRequests += 1;
    if (record.openRequests > MAX_OPEN_REQUESTS) {
      this.close(record, 'tooManyRequests');
      return false;
    }
    this.track(record, request);
    record.response = response;
    response.once('close', () => this.end(record));
    return true;
  }

  /**
   * Rejects the request that a connection is sending and closes the connection.
   *
   * @param socket - the connection
   * @param reason - why
   */
  reject(socket: Socket, reason: RejectionReason): void {
    const record = this.records.get(socket);
    if (record) this.close(record, reason);
    else socket.destroy();
  }

  /**
   * Closes the connections that have timed out, and those with the largest memory until the others are within
   * the limit. Time is counted from inspection to inspection, so that a pause of the process does not time
   * out clients whose bytes it has not read.
   */
  inspect(): void {
    const now = performance.now();
    const elapsedMs = Math.min(now - this.inspectedAt, 2 * INSPECTION_PERIOD_MS);
    this.inspectedAt = now;
    this.acceptsSinceInspection = 0;
    const { maxHeaderBytes, incompleteBytes } = this.protection.limits;
    let total = 0;
    const holders: MemoryHolder[] = [];
    this.records.forEach((record) => {
      const expired = this.observe(record, elapsedMs);
      const bytes = expired ? 0 : estimateMemory(record, maxHeaderBytes);
      if (expired) this.close(record, expired);
      if (bytes === 0) return;
      total += bytes;
      holders.push({ record, bytes });
    });
    this.closeLargest(holders, total - incompleteBytes);
  }

  /** Closes the connections with the most memory until the given number of bytes is released. */
  private closeLargest(holders: MemoryHolder[], excessBytes: number): void {
    if (excessBytes <= 0) return;
    let excess = excessBytes;
    holders.sort(
      (left, right) => right.bytes - left.bytes || left.record.since - right.record.since,
    );
    holders.every(({ record, bytes }) => {
      this.close(record, record.unsentBytes > 0 ? 'unreadResponse' : 'noMemory');
      excess -= bytes;
      return excess > 0;
    });
  }

  private track(record: ConnectionRecord, request: IncomingMessage): void {
    const { socket } = request;
    const { bytesRead } = socket;
    record.request = request;
    record.isUsed = true;
    record.headBytes = Math.max(0, bytesRead - record.requestEnd);
    record.requestEnd = findRequestEnd(request, record.requestEnd, bytesRead);
    if (!hasChunkedBody(request)) return;
    request.once('end', () => {
      record.requestEnd = socket.bytesRead;
    });
  }

  private end(record: ConnectionRecord): void {
    record.openRequests -= 1;
    if (record.openRequests > 0) return;
    record.since = performance.now();
    record.response = undefined;
    if (!isReadingBody(record)) record.request = undefined;
  }

  private remove(record: ConnectionRecord, address: string): void {
    this.records.delete(record.socket);
    const others = (this.perAddress.get(address) ?? 1) - 1;
    if (others > 0) this.perAddress.set(address, others);
    else this.perAddress.delete(address);
  }

  /** Compares a connection with the last inspection. Returns the reason to close it, if it has timed out. */
  private observe(record: ConnectionRecord, elapsedMs: number): RejectionReason | undefined {
    const { bytesRead, writableLength } = record.socket;
    const { bodyTimeoutMs, writeTimeoutMs, maxBodyBytes } = this.protection.limits;
    const isQuiet = bytesRead === record.seenBytes;
    const isUnsent = writableLength > 0 && writableLength >= record.unsentBytes;
    record.quietMs = isQuiet ? record.quietMs + elapsedMs : 0;
    record.unsentMs = isUnsent ? record.unsentMs + elapsedMs : 0;
    record.seenBytes = bytesRead;
    record.unsentBytes = writableLength;
    if (record.unsentMs > writeTimeoutMs) return 'unreadResponse';
    if (!isReadingBody(record)) return undefined;
    if (record.quietMs > bodyTimeoutMs) return 'bodyTimeout';
    const bodyBytes = bytesRead - record.requestEnd;
    return bodyBytes > MAX_FRAMING_FACTOR * maxBodyBytes ? 'bodyTooLarge' : undefined;
  }

  /** Closes the first connection in the order for closing. Returns false if all wait for a response. */
  private closeOne(): boolean {
    const now = performance.now();
    // Connections that became idle since, or are new, are not in an old order.
    if (now - this.orderedAt > INSPECTION_PERIOD_MS) this.putInOrder(now);
    let record = this.takeUnchanged();
    if (!record && now - this.orderedAt >= ORDER_PERIOD_MS) {
      this.putInOrder(now);
      record = this.takeUnchanged();
    }
    if (!record) return false;
    this.close(record, 'tooManyConnections');
    return true;
  }

  private putInOrder(now: number): void {
    this.orderedAt = now;
    this.order = orderForClosing(this.records.values(), now)
      .map((record) => ({ record, state: stateOf(record) }))
      .reverse();
  }

  /** Takes the next connection out of the order. Leaves out those that were used since: their place is another. */
  private takeUnchanged(): ConnectionRecord | undefined {
    const isUnchanged = ({ record, state }: (typeof this.order)[number]) =>
      !record.socket.destroyed && stateOf(record) === state && record.since <= this.orderedAt;
    let next = this.order.pop();
    while (next && !isUnchanged(next)) next = this.order.pop();
    return next?.record;
  }

  private close(record: ConnectionRecord, reason: RejectionReason): void {
    const { socket } = record;
    if (socket.destroyed) return;
    this.report(record, reason);
    const text = this.mayAnswer(record) ? renderRejection(reason) : undefined;
    this.records.delete(socket);
    if (text === undefined) {
      socket.destroy();
      return;
    }
    socket.write(text);
    socket.destroySoon();
    socket.setTimeout(this.protection.limits.writeTimeoutMs, () => socket.destroy());
  }

  /** False if the client could take a rejection for the response to an earlier request on the connection. */
  private mayAnswer(record: ConnectionRecord): boolean {
    return (
      stateOf(record) === 'incomplete' &&
      record.socket.writable &&
      record.socket.writableLength === 0 &&
      !record.response?.headersSent
    );
  }

  private report(record: ConnectionRecord, reason: RejectionReason): void {
    const { port, onRejected } = this.protection;
    onRejected({ reason, port, address: record.socket.remoteAddress });
  }
}
