import type { News } from '@marjorammast/protocol';

/** The newest news of one peer. */
export type PeerHeartbeat = {
  news: News;
  /** Monotonic time at which the peer was asked, in milliseconds. */
  sentAt: number;
  /** True when the peer has stopped for good and told so. */
  hasLeft: boolean;
};

/** What is known about how current this entry's configuration is. */
export type FreshnessEvidence = {
  version: number;
  mapRevision: number;
  /** Monotonic time at which the newest successful read of the store began. */
  storeReadAt: number;
  /** True while a write of this entry may or may not have taken effect. */
  isUnsettled: boolean;
  /** News of every other member; `undefined` for one that never answered. */
  peers: readonly (PeerHeartbeat | undefined)[];
};

const isNotAhead = (view: FreshnessEvidence, { news }: PeerHeartbeat): boolean =>
  news.version <= view.version && news.mapRevision <= view.mapRevision;

const agreedAt = (
  view: FreshnessEvidence,
  peer: PeerHeartbeat | undefined,
  now: number,
): number => {
  if (!peer || peer.news.unsettled || !isNotAhead(view, peer)) return -Infinity;
  return peer.hasLeft ? now : peer.sentAt;
};

/**
 * Age of the newest moment at which this entry's configuration was certainly the newest accepted
 * one. Three kinds of evidence count: an own read of the store; a peer's read, told by a peer that
 * knows nothing newer; and every other member saying that it knows nothing newer, since only
 * members write.
 *
 * @param view - what is known
 * @param now - monotonic time, in milliseconds
 * @returns age in milliseconds
 */
export const configurationAge = (view: FreshnessEvidence, now: number): number => {
  const peerReads = view.peers.flatMap((peer) =>
    peer && !peer.hasLeft && isNotAhead(view, peer) ? [peer.sentAt - peer.news.storeAgeMs] : [],
  );
  const agreement = view.isUnsettled
    ? -Infinity
    : Math.min(now, ...view.peers.map((peer) => agreedAt(view, peer, now)));
  return now - Math.max(view.storeReadAt, agreement, ...peerReads);
};
