import type { Socket } from 'node:net';
import { BodyBudget } from '@marjorammast/http';
import type { PeerLimits, RejectionReason } from '@marjorammast/http';
import { MAX_MESSAGE_BYTES } from './constants';
import type { LineBounds } from './LineAssembler';
import { callSchemas } from './messages';
import type { Method } from './messages';

/** Maximum length of a line on a connection without a valid message, in bytes. */
const MAX_UNKNOWN_LINE_BYTES = 256 * 1024;

/** Period in which the connections are inspected for unread messages, in milliseconds. */
const INSPECTION_PERIOD_MS = 500;

/** Bytes waiting on one connection from which all are inspected before the period has passed. */
const MANY_UNSENT_BYTES = 64 * 1024;

/** Minimum time between two inspections, in milliseconds. */
const MIN_INSPECTION_PERIOD_MS = 20;

/** Time after which a process that reads nothing is given up, in milliseconds. */
const UNREAD_TIMEOUT_MS = 5_000;

const METHODS: ReadonlySet<string> = new Set(Object.keys(callSchemas));

/** One connection that another process, or someone else, has opened. */
export type InboundConnection = {
  socket: Socket;
  /** True once a valid call has arrived. */
  isKnown: boolean;
  /** Bytes waiting to be sent at the last inspection. */
  unsentBytes: number;
  /** Time without progress of what is to be sent, in milliseconds. */
  unsentMs: number;
};

/** Limits of the connections, and who is told of those that are closed. */
export type InboundLimits = PeerLimits & {
  onRejected: (reason: RejectionReason, address?: string) => void;
};

/**
 * Tells whether a message is a call of another process.
 *
 * @param message - a parsed line
 * @returns true if its method exists and its parameters are valid
 */
export const isValidCall = (message: unknown): boolean => {
  if (typeof message !== 'object' || message === null) return false;
  const { method, params } = message as { method?: unknown; params?: unknown };
  if (typeof method !== 'string' || !METHODS.has(method)) return false;
  return callSchemas[method as Method].params.safeParse(params).success;
};

/** The connections to one port for other processes. */
export class InboundConnections {
  private readonly connections = new Set<InboundConnection>();

  private readonly knownBudget: BodyBudget;

  private readonly unknownBudget: BodyBudget;

  private inspectedAt = performance.now();

  private constructor(private readonly limits: InboundLimits) {
    this.knownBudget = BodyBudget.create(limits.lineBytes);
    this.unknownBudget = BodyBudget.create(limits.unknownLineBytes);
  }

  /**
   * @param limits - limits of the connections
   * @returns a table without connections
   */
  static create(limits: InboundLimits): InboundConnections {
    return new InboundConnections(limits);
  }

  /**
   * Adds a connection. When there are too many, the oldest one without a valid message is closed, or this
   * one if there is none.
   *
   * @param socket - the accepted connection
   * @returns the connection, or `undefined` if it was closed
   */
  add(socket: Socket): InboundConnection | undefined {
    const connection = { socket, isKnown: false, unsentBytes: 0, unsentMs: 0 };
    if (this.connections.size >= this.limits.maxConnections && !this.closeOldestUnknown()) {
      this.reject(connection, 'tooManyConnections');
      return undefined;
    }
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
    return connection;
  }

  /**
   * @param connection - a connection
   * @returns the bounds of the line that it receives next
   */
  lineBounds({ isKnown }: InboundConnection): LineBounds {
    return isKnown
      ? { maxBytes: MAX_MESSAGE_BYTES, budget: this.knownBudget }
      : { maxBytes: MAX_UNKNOWN_LINE_BYTES, budget: this.unknownBudget };
  }

  /**
   * Closes a connection.
   *
   * @param connection - the connection
   * @param reason - why
   */
  reject(connection: InboundConnection, reason: RejectionReason): void {
    const { socket } = connection;
    this.connections.delete(connection);
    this.limits.onRejected(reason, socket.remoteAddress);
    socket.destroy();
  }

  /**
   * Notes that a message was written. Messages for one that reads nothing may pile up within a period.
   *
   * @param connection - the connection
   */
  noteWrite({ socket }: InboundConnection): void {
    if (socket.writableLength < MANY_UNSENT_BYTES) return;
    if (performance.now() - this.inspectedAt >= MIN_INSPECTION_PERIOD_MS) this.inspect();
  }

  /** Closes the connections whose other end does not read what is sent to it. */
  inspect(): void {
    const now = performance.now();
    // A pause of the process, before which the other end may have read, counts as two periods at most.
    const elapsedMs = Math.min(now - this.inspectedAt, 2 * INSPECTION_PERIOD_MS);
    this.inspectedAt = now;
    let total = 0;
    const behind = [...this.connections].filter((connection) => {
      const { writableLength } = connection.socket;
      const isStuck = writableLength > 0 && writableLength >= connection.unsentBytes;
      connection.unsentMs = isStuck ? connection.unsentMs + elapsedMs : 0;
      connection.unsentBytes = writableLength;
      total += writableLength;
      return writableLength > 0;
    });
    behind
      .sort((left, right) => right.unsentBytes - left.unsentBytes)
      .forEach((connection) => {
        if (total <= this.limits.unsentBytes && connection.unsentMs <= UNREAD_TIMEOUT_MS) return;
        total -= connection.unsentBytes;
        this.reject(connection, 'unreadResponse');
      });
  }

  /**
   * Inspects the connections until the returned function is called.
   *
   * @returns ends the inspections
   */
  startInspections(): () => void {
    // Sockets are written to before an inspection that follows a pause of the process.
    const timer = setInterval(() => setImmediate(() => this.inspect()), INSPECTION_PERIOD_MS);
    timer.unref();
    return () => clearInterval(timer);
  }

  private closeOldestUnknown(): boolean {
    // A set is iterated in the order in which its elements were added.
    const oldest = [...this.connections].find(({ isKnown }) => !isKnown);
    if (oldest) this.reject(oldest, 'tooManyConnections');
    return oldest !== undefined;
  }
}
