import {
  MAX_CONFIGURATION_AGE_MS,
  environmentSchema,
  releaseSchema,
  sleep,
  toAgentConfiguration,
} from '@marjorammast/protocol';
import type { Environment, Policy, Release, AgentConfiguration } from '@marjorammast/protocol';
import type { StoredValue } from '@marjorammast/store';
import type { Log, Timeline } from '@marjorammast/telemetry';
import { withNonce } from './ClusterController';
import type { ClusterController } from './ClusterController';
import { ENVIRONMENT_KEY } from './constants';

/** Dependencies of the environment controller. */
export type EnvironmentControllerHost = {
  cluster: () => ClusterController;
  /** Called when a newer version of the environment is in force at this entry. */
  changed: (release: Release) => void;
  log: Log;
  timeline: Timeline;
};

/** Outcome of a change to the environment. */
export type ChangeResult =
  /**
   * In force everywhere; `missing` names members that did not confirm it but start no more tasks
   * under an older version.
   */
  | { type: 'accepted'; version: number; confirmed: string[]; missing: string[] }
  /** Not written: the environment is no longer at the expected version. */
  | { type: 'conflict'; current: Release | undefined }
  /** Written, but the members in `missing` may still use the older version for some time. */
  | { type: 'unconfirmed'; version: number; confirmed: string[]; missing: string[] }
  /** The store does not answer; the change may or may not take effect. */
  | { type: 'unsettled' }
  /** Nothing was written. */
  | { type: 'refused'; detail: string };

const EMPTY_AGENT_CONFIGURATION: AgentConfiguration = {
  version: -1,
  outDataCenters: [],
  draining: [],
};

const CONFIRM_RETRY_MS = 100;

const DEFAULT_POLICY: Policy = environmentSchema.parse({
  name: 'none',
  teams: {},
  kinds: {},
  dataCenters: {},
}).policy;

/**
 * The operators' environment document: reads it, changes it and reports when a change is in force.
 */
export class EnvironmentController {
  /** Environment in force at this entry, with its version. */
  release: Release | undefined;

  /** Revision of the environment's key in the store. */
  private revision = 0;

  private constructor(private readonly host: EnvironmentControllerHost) {}

  /**
   * @param host - dependencies
   * @returns a controller without an environment
   */
  static create(host: EnvironmentControllerHost): EnvironmentController {
    return new EnvironmentController(host);
  }

  /** Version in force at this entry; -1 before the first. */
  get version(): number {
    return this.release?.version ?? -1;
  }

  /** Policy in force at this entry. */
  get policy(): Policy {
    return this.release?.environment.policy ?? DEFAULT_POLICY;
  }

  /** The part of the environment that agents need. */
  get agentConfiguration(): AgentConfiguration {
    return this.release ? toAgentConfiguration(this.release) : EMPTY_AGENT_CONFIGURATION;
  }

  /** Applies the document as read from the store. */
  acceptStored(stored: StoredValue): void {
    this.revision = Math.max(this.revision, stored.revision);
    this.accept(releaseSchema.parse(JSON.parse(stored.value)));
  }

  /** Puts a release into force at this entry, unless this version or a newer one is in force. */
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
   * @param environment - the new environment
   * @param expected - version on which the change is based; -1 for the first
   * @param author - name of the person who makes the change
   * @returns outcome of the change
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
   * Waits until every member has the version in force or certainly starts no more tasks under an
   * older one. A member that has not confirmed the version cannot know its older configuration to
   * be current for longer than `MAX_CONFIGURATION_AGE_MS`, and without that knowledge it starts no
   * tasks.
   */
  private async waitUntilInForce(version: number): Promise<ChangeResult> {
    const cluster = this.host.cluster();
    const until = performance.now() + MAX_CONFIGURATION_AGE_MS;
    const confirmed = new Set<string>();
    let missing: string[] = [];
    do {
      const pending = cluster.others().filter(({ name }) => !confirmed.has(name));
      await Promise.all(
        pending.map(async ({ name }) => {
          const answer = await cluster
            .call(name, 'confirm', { version }, MAX_CONFIGURATION_AGE_MS / 2)
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
    // A missing member that does not count this entry as a member yet could still find all members
    // it knows in agreement on the older version.
    const type = missing.every((name) => cluster.isCountedBy(name)) ? 'accepted' : 'unconfirmed';
    this.host.timeline.record('changeWritten', { version, type, missing: missing.join(',') });
    return { type, version, confirmed: [...confirmed], missing };
  }
}
