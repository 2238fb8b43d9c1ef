/* eslint-disable import-x/prefer-default-export -- plain modules of Node.js, without a build */
/** Time between two checks of an entry, in milliseconds. */
const CHECK_PERIOD_MS = 1_000;

/** Number of checks in a row without the answer 200 after which an entry gets no new connections. */
const MAX_MISSES = 2;

/** The platform's address for clients: chooses the entry of each new connection. */
export class Balancer {
  misses = new Map();

  constructor(deployment) {
    this.deployment = deployment;
    this.timer = setInterval(
      () => deployment.entries.forEach((entry) => this.check(entry)),
      CHECK_PERIOD_MS,
    );
    this.timer.unref();
  }

  async check(entry) {
    const wasInRotation = this.isInRotation(entry);
    const status = await this.deployment.fetchReadiness(entry, CHECK_PERIOD_MS);
    this.misses.set(entry.name, status === 200 ? 0 : (this.misses.get(entry.name) ?? 0) + 1);
    const isInRotation = this.isInRotation(entry);
    if (isInRotation !== wasInRotation) {
      this.deployment.record('rotation', { entry: entry.name, in: isInRotation });
    }
  }

  isInRotation(entry) {
    return (this.misses.get(entry.name) ?? 0) < MAX_MISSES;
  }

  /** Chooses the entry for a client of a zone, each of which has one entry: its own, or else the next in rotation. */
  choose(zone) {
    const { entries } = this.deployment;
    const ordered = entries.map((_, index) => entries[(zone + index) % entries.length]);
    return ordered.find((entry) => this.isInRotation(entry)) ?? ordered[0];
  }

  stop() {
    clearInterval(this.timer);
  }
}
