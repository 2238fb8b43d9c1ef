import { callEntry } from '../callEntry';

/** Resource usage that a daemon reports: memory, processor time and bytes exchanged. */
export type Usage = {
  sentBytes: number;
  receivedBytes: number;
  /** Processor time in user mode, in microseconds. */
  user: number;
  /** Processor time in system mode, in microseconds. */
  system: number;
  rssBytes: number;
};

export const US_PER_S = 1e6;

export const BYTES_PER_MB = 1024 * 1024;

/**
 * Requests the resource usage of a daemon.
 *
 * @param address - HTTP address of the daemon
 * @returns its usage
 */
export const usageOf = async (address: string): Promise<Usage> =>
  (await callEntry(address, 'GET', '/health/usage')).body as unknown as Usage;
