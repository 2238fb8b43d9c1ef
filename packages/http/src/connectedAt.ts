import type { Socket } from 'node:net';

const acceptTimes = new WeakMap<Socket, number>();

/**
 * Records that a connection was accepted now.
 *
 * @param socket - the connection
 */
export const recordAccept = (socket: Socket): void => {
  acceptTimes.set(socket, performance.now());
};

/**
 * @param socket - a connection
 * @returns monotonic time at which it was accepted, in milliseconds; before all others if that is not known
 */
export const connectedAtOf = (socket: Socket): number => acceptTimes.get(socket) ?? -Infinity;
