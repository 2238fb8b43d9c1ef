import * as z from 'zod';
import { CLOCK_SKEW_MS, MAX_NOT_AFTER_MS } from '@marjorammast/protocol';
import { swap } from '@marjorammast/store';
import type { Store, StoredValue } from '@marjorammast/store';

/** An agent process whose start records a new owner of a shard needs. */
export type RegisteredAgent = { name: string; incarnation: string };

const processSchema = z.object({
  incarnation: z.string(),
  /** Wall-clock time at which a newer process of the agent was registered, in milliseconds. */
  replacedAt: z.number().optional(),
});

/** The stored value of one agent: its processes, the latest first. */
const registrationSchema = z.object({ processes: z.array(processSchema) });

type AgentProcess = z.infer<typeof processSchema>;

/**
 * True while a new owner of a shard needs the start records of the process: it has not been
 * replaced, or a job whose tasks it may have started can still be submitted again.
 */
const isRetained = ({ replacedAt }: AgentProcess): boolean =>
  replacedAt === undefined || Date.now() < replacedAt + MAX_NOT_AFTER_MS + 2 * CLOCK_SKEW_MS;

/**
 * Agent processes that are registered in the store. A new owner of a shard reads them to know which
 * processes it has to ask for start records.
 */
export class AgentRegistry {
  /** Processes of each agent, the latest first. */
  private readonly processes = new Map<string, AgentProcess[]>();

  private readonly revisions = new Map<string, number>();

  private constructor(
    private readonly store: Store,
    private readonly prefix: string,
    private readonly refresh: () => Promise<boolean>,
  ) {}

  /**
   * @param store - the store
   * @param prefix - prefix of the agents' keys
   * @param refresh - reads the store; resolves to false when the store does not answer
   * @returns a registry without agents
   */
  static create(store: Store, prefix: string, refresh: () => Promise<boolean>): AgentRegistry {
    return new AgentRegistry(store, prefix, refresh);
  }

  /** Lists every agent process whose start records a new owner of a shard needs. */
  list(): RegisteredAgent[] {
    return [...this.processes].flatMap(([name, processes]) =>
      processes.filter(isRetained).map(({ incarnation }) => ({ name, incarnation })),
    );
  }

  /**
   * Updates the processes of an agent from the value read from the store, unless it is outdated.
   */
  update(name: string, stored: StoredValue): void {
    if ((this.revisions.get(name) ?? 0) >= stored.revision) return;
    this.revisions.set(name, stored.revision);
    this.processes.set(name, registrationSchema.parse(JSON.parse(stored.value)).processes);
  }

  /**
   * Registers an agent process in the store. An owner that took over a shard before the
   * registration does not know the process and cannot fence it. The process therefore needs the
   * epochs of a cluster map that was read after the registration.
   *
   * @param name - name of the agent
   * @param incarnation - identifier of the process
   * @returns true when the process is registered and the cluster map was read afterwards
   */
  async register(name: string, incarnation: string): Promise<boolean> {
    const isRegistered = () => this.processes.get(name)?.[0]?.incarnation === incarnation;
    if (isRegistered()) return true;
    if (!(await this.refresh())) return false;
    if (isRegistered()) return true;
    // Earlier processes stay listed, because a new owner must know that their start records may
    // be lost.
    const earlier = (this.processes.get(name) ?? [])
      .map((process) => ({ replacedAt: Date.now(), ...process }))
      .filter(isRetained);
    const value = JSON.stringify({ processes: [{ incarnation }, ...earlier] });
    const key = `${this.prefix}${name}`;
    const written = await swap(this.store, key, this.revisions.get(name) ?? 0, value);
    await this.refresh();
    return written.type === 'written' && isRegistered();
  }
}
