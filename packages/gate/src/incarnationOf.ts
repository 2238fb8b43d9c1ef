import type { WorkerIdentity } from './WorkerClient';

/**
 * @param worker - a worker
 * @returns text that identifies the incarnation of the worker in messages
 */
export const incarnationOf = ({ id, born }: WorkerIdentity): string => `${id}@${born}`;
