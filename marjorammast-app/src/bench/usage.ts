import { callEntry } from '../callEntry';

/** What a daemon tells of its process and of the bytes between processes. */
export type Usage = {
  sentBytes: number;
  receivedBytes: number;
  /** Processor time in user and in system mode, in microseconds. */
  user: number;
  system: number;
  rssBytes: number;
};

export const US_PER_S = 1e6;

export const BYTES_PER_MB = 1024 * 1024;

/**
 * Asks a daemon for its usage.
 *
 * @param address - its HTTP address
 */
export const usageOf = async (address: string): Promise<Usage> =>
  (await callEntry(address, 'GET', '/health/usage')).body as unknown as Usage;
