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

/** Unsent bytes of one connection from which all connections are inspected before the period has passed. */
const EARLY_INSPECTION_BYTES = 64 * 1024;

/** Minimum time between two inspections, in milliseconds. */
const MIN_INSPECTION_PERIOD_MS = 20;

/** Time after which the connection of a process that reads nothing is closed, in milliseconds. */
const UNREAD_TIMEOUT_MS = 5_000;

const METHODS: ReadonlySet<string> = new Set(Object.keys(callSchemas));

/** A connection that was accepted on the port for other processes, whoever has opened it. */
export type InboundConnection = {
  socket: Socket;
  /** True once a valid call has arrived. */
  isKnown: boolean;
  /** Bytes waiting to be sent at the last inspection. */
  unsentBytes: number;
  /** Time without progress of what is to be sent, in milliseconds. */
  unsentMs: number;
};

/** Limits of the connections, and the listener for those that are closed. */
export type InboundLimits = PeerLimits & {
  onRejected: (reason: RejectionReason, address?: string) => void;
};

/**
 * Decides whether a message is a valid call, as only other processes send them.
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
   * Handles the write of a message. Inspects the connections early if much is unsent, since messages for a process
   * that does not read may accumulate within a period.
   *
   * @param connection - the connection
   */
  handleWrite({ socket }: InboundConnection): void {
    if (socket.writableLength < EARLY_INSPECTION_BYTES) return;
    if (performance.now() - this.inspectedAt >= MIN_INSPECTION_PERIOD_MS) this.inspect();
  }

  /** Closes the connections whose other end does not read its messages. */
  inspect(): void {
    const now = performance.now();
    // A pause of this process counts as two periods at most, since the other end may have read meanwhile.
    const elapsedMs = Math.min(now - this.inspectedAt, 2 * INSPECTION_PERIOD_MS);
    this.inspectedAt = now;
    let total = 0;
    const unread = [...this.connections].filter((connection) => {
      const { writableLength } = connection.socket;
      const isBlocked = writableLength > 0 && writableLength >= connection.unsentBytes;
      connection.unsentMs = isBlocked ? connection.unsentMs + elapsedMs : 0;
      connection.unsentBytes = writableLength;
      total += writableLength;
      return writableLength > 0;
    });
    unread
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
    // After a pause of the process timers run first; the sockets must be written to before the inspection.
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
