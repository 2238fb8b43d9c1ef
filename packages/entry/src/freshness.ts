import type { News } from '@marjorammast/protocol';

/** The newest news of one peer. */
export type PeerNews = {
  news: News;
  /** Monotonic time at which the peer was asked, in milliseconds. */
  askedAt: number;
  /** True when the peer has stopped for good and told so. */
  hasLeft: boolean;
};

/** What is known about how current this entry's configuration is. */
export type FreshnessView = {
  version: number;
  mapRevision: number;
  /** Monotonic time at which the newest successful read of the store began. */
  storeReadAt: number;
  /** True while a write of this entry may or may not have taken effect. */
  isUnsettled: boolean;
  /** News of every other member; `undefined` for one that never answered. */
  peers: readonly (PeerNews | undefined)[];
};

const isNotAhead = (view: FreshnessView, { news }: PeerNews): boolean =>
  news.version <= view.version && news.mapRevision <= view.mapRevision;

const agreedAt = (view: FreshnessView, peer: PeerNews | undefined, now: number): number => {
  if (!peer || peer.news.unsettled || !isNotAhead(view, peer)) return -Infinity;
  return peer.hasLeft ? now : peer.askedAt;
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
export const freshnessAge = (view: FreshnessView, now: number): number => {
  const told = view.peers.flatMap((peer) =>
    peer && !peer.hasLeft && isNotAhead(view, peer) ? [peer.askedAt - peer.news.storeAgeMs] : [],
  );
  const agreed = view.isUnsettled
    ? -Infinity
    : Math.min(now, ...view.peers.map((peer) => agreedAt(view, peer, now)));
  return now - Math.max(view.storeReadAt, agreed, ...told);
};
