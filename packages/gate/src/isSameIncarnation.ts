import type { WorkerIdentity } from './WorkerClient';

/**
 * @param one - a worker
 * @param other - a worker
 * @returns true when both are the same incarnation of the same worker
 */
export const isSameIncarnation = (one: WorkerIdentity, other: WorkerIdentity): boolean =>
  one.id === other.id && one.born === other.born;
