import type { Link, RegisteredProcess, OperatorState } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ATTACH_TIMEOUT_MS } from './constants';

/** Dependencies of a peer client. */
export type PeerClientOptions = {
  /** Name of this entry. */
  entry: string;
  dial: (address: string) => Promise<Link>;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  log: Log;
};

/** Fetches the operator state from other entries when the store does not deliver it to this entry. */
export class PeerClient {
  private peers: readonly RegisteredProcess[] = [];

  private constructor(private readonly options: PeerClientOptions) {}

  /**
   * @param options - dependencies of the client
   * @returns a client without a list of entries
   */
  static create(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  /**
   * Replaces the list of registered entries.
   *
   * @param entries - all entries registered in the store, including this one
   */
  updatePeers(entries: readonly RegisteredProcess[]): void {
    this.peers = entries.filter(({ name }) => name !== this.options.entry);
  }

  /**
   * Asks one entry, chosen at random.
   *
   * @returns the operator state of that entry, or `undefined` when it has none or does not answer
   */
  async fetch(): Promise<OperatorState | undefined> {
    const peer = this.peers[Math.floor(this.options.random() * this.peers.length)];
    if (!peer) return undefined;
    try {
      const link = await this.options.dial(peer.address);
      try {
        const { state } = await link.call('operatorState', {}, ATTACH_TIMEOUT_MS);
        const { revision, version } = state ?? {};
        this.options.log.info({ peer: peer.name, revision, version }, 'state_from_peer');
        return state;
      } finally {
        link.close();
      }
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.options.log.warn({ peer: peer.name, detail }, 'peer_unreachable');
      return undefined;
    }
  }
}
