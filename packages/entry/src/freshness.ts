import type { Heartbeat } from '@marjorammast/protocol';

/** The latest heartbeat reply of one peer. */
export type PeerHeartbeat = {
  /** Content of the reply. */
  news: Heartbeat;
  /** Monotonic time at which the heartbeat request was sent, in milliseconds. */
  sentAt: number;
  /** True when the peer has announced that it stops for good. */
  hasLeft: boolean;
};

/** Evidence of how current this entry's configuration (environment and cluster map) is. */
export type FreshnessEvidence = {
  /** Version of the environment in force at this entry. */
  version: number;
  mapRevision: number;
  /** Monotonic time at which the latest successful read of the store began. */
  storeReadAt: number;
  /** True while the outcome of a write of this entry is unknown. */
  isUnsettled: boolean;
  /** Latest heartbeat of every other member; `undefined` for a member that never answered. */
  peers: readonly (PeerHeartbeat | undefined)[];
};

/** True when the peer knows no newer environment and no newer cluster map than this entry. */
const isNotAhead = (evidence: FreshnessEvidence, { news }: PeerHeartbeat): boolean =>
  news.version <= evidence.version && news.mapRevision <= evidence.mapRevision;

/** Time up to which the peer confirms that there is no newer configuration. */
const agreedAt = (
  evidence: FreshnessEvidence,
  peer: PeerHeartbeat | undefined,
  now: number,
): number => {
  if (!peer || peer.news.unsettled || !isNotAhead(evidence, peer)) return -Infinity;
  // A peer that has left writes nothing more, so its last reply stays valid.
  return peer.hasLeft ? now : peer.sentAt;
};

/**
 * Computes the time since this entry's configuration was last known to be the latest accepted one.
 * Three kinds of evidence count:
 *
 * - this entry read the store;
 * - a peer read the store and reported it in a heartbeat, and that peer knows no newer
 *   configuration;
 * - every other member reported that it knows no newer configuration. Only members write to the
 *   store, so no newer configuration exists then.
 *
 * @param evidence - the evidence
 * @param now - monotonic time, in milliseconds
 * @returns the age in milliseconds; infinite without evidence
 */
export const configurationAge = (evidence: FreshnessEvidence, now: number): number => {
  const peerReads = evidence.peers.flatMap((peer) =>
    peer && !peer.hasLeft && isNotAhead(evidence, peer) ? [peer.sentAt - peer.news.storeAgeMs] : [],
  );
  const agreement = evidence.isUnsettled
    ? -Infinity
    : Math.min(now, ...evidence.peers.map((peer) => agreedAt(evidence, peer, now)));
  return now - Math.max(evidence.storeReadAt, agreement, ...peerReads);
};
