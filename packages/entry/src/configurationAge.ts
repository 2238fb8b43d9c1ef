import type { Heartbeat } from '@marjorammast/protocol';

/** The latest reply of one peer to a heartbeat request of this entry. */
export type PeerHeartbeat = {
  reply: Heartbeat;
  /** Monotonic time at which this entry sent the request, in milliseconds. */
  sentAt: number;
  /** True when the peer has announced that it stops for good. */
  hasLeft: boolean;
};

/** Evidence of how current this entry's configuration (environment and cluster map) is. */
export type FreshnessEvidence = {
  /** Version of the environment in force at this entry. */
  version: number;
  /** Revision of the cluster map at this entry. */
  mapRevision: number;
  /** Monotonic time at which the latest successful read of the store began, in milliseconds. */
  storeReadAt: number;
  /** True while the outcome of a write of this entry is unknown. */
  isUnsettled: boolean;
  /** Latest heartbeat of every other member; `undefined` for a member that never answered. */
  peers: readonly (PeerHeartbeat | undefined)[];
};

/** True when the peer knows no newer environment and no newer cluster map than this entry. */
const isNotAhead = (evidence: FreshnessEvidence, { reply }: PeerHeartbeat): boolean =>
  reply.version <= evidence.version && reply.mapRevision <= evidence.mapRevision;

/** Monotonic time up to which the peer confirms that it knows no newer configuration. */
const agreedAt = (
  evidence: FreshnessEvidence,
  peer: PeerHeartbeat | undefined,
  now: number,
): number => {
  if (!peer || peer.reply.unsettled || !isNotAhead(evidence, peer)) return -Infinity;
  // A peer that has left writes nothing more, so its last reply stays valid.
  return peer.hasLeft ? now : peer.sentAt;
};

/**
 * Computes the time since this entry's configuration was last known to be the latest accepted one.
 * Three kinds of evidence count:
 *
 * - a read of the store by this entry;
 * - a read of the store by a peer, which reports the age of the read in its heartbeat and knows no
 *   newer configuration;
 * - the agreement of all other members that they know no newer configuration. Only members write
 *   the configuration to the store, so no newer one has been accepted then. Agreement counts only
 *   while neither this entry nor any other member has a write of unknown outcome.
 *
 * @param evidence - the evidence
 * @param now - monotonic time, in milliseconds
 * @returns the age in milliseconds; infinite without evidence
 */
export const configurationAge = (evidence: FreshnessEvidence, now: number): number => {
  const peerReads = evidence.peers.flatMap((peer) =>
    peer && !peer.hasLeft && isNotAhead(evidence, peer)
      ? [peer.sentAt - peer.reply.storeAgeMs]
      : [],
  );
  const agreement = evidence.isUnsettled
    ? -Infinity
    : Math.min(now, ...evidence.peers.map((peer) => agreedAt(evidence, peer, now)));
  return now - Math.max(evidence.storeReadAt, agreement, ...peerReads);
};
