import type { Link, ListedProcess, OperatorState } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ATTACH_TIMEOUT_MS } from './constants';

/** What is needed to ask other entries. */
export type PeerStateParts = {
  /** Name of this entry. */
  self: string;
  dial: (address: string) => Promise<Link>;
  /** Uniform random numbers below 1. */
  random: () => number;
  log: Log;
};

/** Fetches what operators have written from other entries, when the store turns this one away. */
export class PeerState {
  private peers: readonly ListedProcess[] = [];

  private constructor(private readonly parts: PeerStateParts) {}

  /**
   * @param parts - what is needed
   * @returns a state without known peers
   */
  static create(parts: PeerStateParts): PeerState {
    return new PeerState(parts);
  }

  /**
   * Takes the list of entries.
   *
   * @param listed - all entries, this one included
   */
  list(listed: readonly ListedProcess[]): void {
    this.peers = listed.filter(({ name }) => name !== this.parts.self);
  }

  /**
   * Asks one entry, chosen at random.
   *
   * @returns its state, or `undefined` when there is no answer
   */
  async fetch(): Promise<OperatorState | undefined> {
    const peer = this.peers[Math.floor(this.parts.random() * this.peers.length)];
    if (!peer) return undefined;
    try {
      const link = await this.parts.dial(peer.address);
      try {
        const { state } = await link.call('operatorState', {}, ATTACH_TIMEOUT_MS);
        const { revision, version } = state ?? {};
        this.parts.log.info({ peer: peer.name, revision, version }, 'state_from_peer');
        return state;
      } finally {
        link.close();
      }
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.parts.log.warn({ peer: peer.name, detail }, 'peer_unreachable');
      return undefined;
    }
  }
}
