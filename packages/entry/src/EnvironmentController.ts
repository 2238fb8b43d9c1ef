import {
  FRESHNESS_MS,
  environmentSchema,
  releaseSchema,
  sleep,
  sliceOf,
} from '@marjorammast/protocol';
import type { Environment, Policy, Release, Slice } from '@marjorammast/protocol';
import type { StoredValue } from '@marjorammast/store';
import type { Log, Timeline } from '@marjorammast/telemetry';
import { withNonce } from './ClusterController';
import type { ClusterController } from './ClusterController';
import { ENVIRONMENT_KEY } from './constants';

/** What the environment controller needs of the entry. */
export type EnvironmentHost = {
  cluster: () => ClusterController;
  /** A newer version is in force here. */
  changed: (release: Release) => void;
  log: Log;
  timeline: Timeline;
};

/** What became of a change. */
export type ChangeResult =
  /** In force everywhere; `missing` names members that have stopped starting instead. */
  | { type: 'accepted'; version: number; confirmed: string[]; missing: string[] }
  /** Another change came first. */
  | { type: 'conflict'; current: Release | undefined }
  /** Written, but these members may go on under the older version; it comes into force later. */
  | { type: 'unconfirmed'; version: number; confirmed: string[]; missing: string[] }
  /** The store does not answer; the change may come into force. */
  | { type: 'unsettled' }
  | { type: 'refused'; detail: string };

const EMPTY_SLICE: Slice = { version: -1, outDataCenters: [], draining: [] };

const CONFIRM_RETRY_MS = 100;

const DEFAULT_POLICY: Policy = environmentSchema.parse({
  name: 'none',
  teams: {},
  kinds: {},
  dataCenters: {},
}).policy;

/** The operators' document: reads it, changes it, and knows when a change is in force. */
export class EnvironmentController {
  release: Release | undefined;

  private revision = 0;

  private constructor(private readonly host: EnvironmentHost) {}

  /**
   * @param host - what the controller needs of the entry
   * @returns a controller without an environment
   */
  static create(host: EnvironmentHost): EnvironmentController {
    return new EnvironmentController(host);
  }

  /** Version in force here; -1 before the first. */
  get version(): number {
    return this.release?.version ?? -1;
  }

  /** Policy in force here. */
  get policy(): Policy {
    return this.release?.environment.policy ?? DEFAULT_POLICY;
  }

  /** The agents' part of the configuration. */
  get slice(): Slice {
    return this.release ? sliceOf(this.release) : EMPTY_SLICE;
  }

  /** Takes the document as read from the store. */
  acceptStored(stored: StoredValue): void {
    this.revision = Math.max(this.revision, stored.revision);
    this.accept(releaseSchema.parse(JSON.parse(stored.value)));
  }

  /** Takes a release unless a newer one is in force. */
  accept(release: Release): void {
    if (release.version <= this.version) return;
    this.release = release;
    this.host.log.info({ version: release.version, author: release.author }, 'configured');
    this.host.timeline.record('configured', { version: release.version });
    this.host.changed(release);
  }

  /**
   * Changes the environment if it is still at the expected version, and waits until the change is
   * in force everywhere.
   *
   * @param environment - new content
   * @param expected - version that the change was made from; -1 for the first
   * @param author - who changes it
   * @returns what became of the change
   */
  async apply(environment: Environment, expected: number, author: string): Promise<ChangeResult> {
    if (!(await this.host.cluster().poll())) {
      return { type: 'refused', detail: 'the store does not answer; nothing was written' };
    }
    if (!this.host.cluster().isMember) {
      return { type: 'refused', detail: 'this entry is not a member; nothing was written' };
    }
    if (this.version !== expected) return { type: 'conflict', current: this.release };
    const release = { version: expected + 1, author, at: Date.now(), environment };
    const cluster = this.host.cluster();
    const written = await cluster.write(ENVIRONMENT_KEY, this.revision, withNonce(release));
    if (written.type === 'unsettled') return { type: 'unsettled' };
    if (written.type === 'conflict') return { type: 'conflict', current: this.release };
    return this.waitUntilInForce(release.version);
  }

  /**
   * Waits until every member has the version in force, or has provably stopped starting: a member
   * that has not confirmed it cannot vouch for an older version for longer than the freshness bound.
   */
  private async waitUntilInForce(version: number): Promise<ChangeResult> {
    const cluster = this.host.cluster();
    const until = performance.now() + FRESHNESS_MS;
    const confirmed = new Set<string>();
    let missing: string[] = [];
    do {
      const pending = cluster.others().filter(({ name }) => !confirmed.has(name));
      await Promise.all(
        pending.map(async ({ name }) => {
          const answer = await cluster
            .call(name, 'confirm', { version }, FRESHNESS_MS / 2)
            .catch((error: unknown) => {
              this.host.log.warn({ entry: name, version, detail: String(error) }, 'confirm_failed');
              return undefined;
            });
          if (answer && answer.version >= version) confirmed.add(name);
        }),
      );
      missing = cluster
        .others()
        .map(({ name }) => name)
        .filter((name) => !confirmed.has(name));
      if (missing.length > 0) await sleep(CONFIRM_RETRY_MS);
    } while (missing.length > 0 && performance.now() < until);
    const type = missing.every((name) => cluster.isCountedBy(name)) ? 'accepted' : 'unconfirmed';
    this.host.timeline.record('changeWritten', { version, type, missing: missing.join(',') });
    return { type, version, confirmed: [...confirmed], missing };
  }
}
