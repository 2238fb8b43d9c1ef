/**
 * @param incarnation - text that identifies the incarnation of a worker in messages
 * @returns identifier of the worker, which several of its incarnations may share; empty without a worker
 */
export const workerIdOf = (incarnation: string): string =>
  incarnation.slice(0, Math.max(0, incarnation.lastIndexOf('@')));
