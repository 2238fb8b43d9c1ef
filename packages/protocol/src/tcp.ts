import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { BodyBudget, deriveLimits } from '@marjorammast/http';
import split2 from 'split2';
import { CALL_TIMEOUT_MS, MAX_MESSAGE_BYTES } from './constants';
import { InboundConnections, isValidCall } from './InboundConnections';
import type { InboundLimits } from './InboundConnections';
import { LineAssembler } from './LineAssembler';
import type { LineBounds } from './LineAssembler';
import { CallError, Link } from './Link';
import type { CallServer } from './Link';

/**
 * Size of a socket's send buffer above which the other process counts as stuck and further messages
 * are rejected, in bytes.
 */
const MAX_BUFFERED_BYTES = 4 * MAX_MESSAGE_BYTES;

/** Idle time after which the kernel sends TCP keep-alive probes, in milliseconds. */
const KEEP_ALIVE_MS = 15_000;

const DIALED_BOUNDS = { maxBytes: MAX_MESSAGE_BYTES, budget: BodyBudget.create(Infinity) };

/** Counters of the traffic between processes. */
export type TrafficCounters = { sentBytes: number; receivedBytes: number; messages: number };

const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/** Sends all messages that are written in one turn of the event loop with one system call. */
const batchWrites = (socket: Socket): void => {
  if (socket.writableCorked > 0) return;
  socket.cork();
  process.nextTick(() => socket.uncork());
};

/** Parses one line. The stream of messages would end at `null`, and the link would stay open but deaf. */
const parseLine = (line: string): unknown => {
  const message: unknown = JSON.parse(line);
  if (message === null) throw new Error('not a message: null');
  return message;
};

/** Handling of lines, which differs between accepted and dialed connections. */
type LineHandling = {
  /** Returns the bounds of the line that begins. */
  bounds: () => LineBounds;
  /** Called with each message, before it is handled. */
  onMessage: (message: unknown) => void;
  /** Called after each message that was written. */
  onWrite: () => void;
  /** Called when a line exceeds its bounds. */
  onOverflow: (reason: 'lineTooLong' | 'noMemory') => void;
};

/** Dialed processes are known from the store, so their connections are trusted. */
const DIALED: LineHandling = {
  bounds: () => DIALED_BOUNDS,
  onMessage: () => undefined,
  onWrite: () => undefined,
  onOverflow: () => undefined,
};

/** Passes the messages of a connection to its link. */
const receiveMessages = (socket: Socket, link: Link, handling: LineHandling): void => {
  const fail = (error: unknown) => {
    link.reportFault(error);
    link.close();
  };
  const lines = split2(parseLine);
  const assembler = LineAssembler.create(
    handling.bounds,
    (text) => lines.write(text),
    (reason) => {
      fail(new Error(reason));
      handling.onOverflow(reason);
    },
  );
  lines.on('data', (message) => {
    handling.onMessage(message);
    link.receive(message);
  });
  lines.on('error', fail);
  socket.on('data', (chunk: Buffer) => assembler.add(chunk));
  socket.on('end', () => {
    assembler.end();
    lines.end();
  });
  socket.on('close', () => assembler.close());
};

const createLink = (
  name: string,
  socket: Socket,
  server: CallServer,
  traffic: TrafficCounters,
  handling: LineHandling,
): Link => {
  const link = Link.create(
    name,
    {
      write: (message) => {
        if (socket.destroyed || socket.writableLength > MAX_BUFFERED_BYTES) {
          throw CallError.create('notSent', `connection to ${name} is closed or full`);
        }
        const line = `${JSON.stringify(message)}\n`;
        traffic.sentBytes += Buffer.byteLength(line);
        traffic.messages += 1;
        batchWrites(socket);
        socket.write(line);
        handling.onWrite();
      },
      close: () => socket.destroy(),
    },
    server,
  );
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  socket.on('data', (chunk: Buffer) => {
    traffic.receivedBytes += chunk.length;
  });
  receiveMessages(socket, link, handling);
  // What is lost with the connection is reported by the calls on the link.
  socket.on('error', () => link.close());
  socket.on('close', () => link.close());
  return link;
};

/**
 * Opens a link to another process.
 *
 * @param address - host and port
 * @param server - handles the other process's calls
 * @param traffic - counters to update
 * @returns the open link
 * @throws the socket error, for example ECONNREFUSED
 */
export const dial = (
  address: string,
  server: CallServer,
  traffic: TrafficCounters,
): Promise<Link> =>
  new Promise((resolve, reject) => {
    const socket = connect({ ...parseAddress(address), timeout: CALL_TIMEOUT_MS });
    socket.once('error', reject);
    socket.once('timeout', () => socket.destroy(new Error(`connection to ${address} timed out`)));
    socket.once('connect', () => {
      socket.removeListener('error', reject);
      socket.setTimeout(0);
      resolve(createLink(address, socket, server, traffic, DIALED));
    });
  });

/**
 * Accepts links from other processes.
 *
 * @param address - host and port to listen on
 * @param calls - handles the calls on the links
 * @param traffic - counters to update
 * @param limits - bounds of the connections
 * @returns the listening server
 */
export const listen = (
  address: string,
  calls: CallServer,
  traffic: TrafficCounters,
  limits: InboundLimits = { ...deriveLimits().peers, onRejected: () => undefined },
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const connections = InboundConnections.create(limits);
    const server = createServer((socket) => {
      const connection = connections.add(socket);
      if (!connection) return;
      createLink(`${socket.remoteAddress}:${socket.remotePort}`, socket, calls, traffic, {
        bounds: () => connections.lineBounds(connection),
        onMessage: (message) => {
          connection.isKnown ||= isValidCall(message);
        },
        onWrite: () => connections.handleWrite(connection),
        onOverflow: (reason) => connections.reject(connection, reason),
      });
    });
    server.once('close', connections.startInspections());
    server.once('error', reject);
    server.listen(parseAddress(address), () => resolve(server));
  });
