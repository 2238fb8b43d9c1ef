import { z } from 'zod';
import { CLOCK_SKEW_MS, MAX_NOT_AFTER_MS } from '@marjorammast/protocol';
import { swap } from '@marjorammast/store';
import type { Store, StoredValue } from '@marjorammast/store';

/** An agent process that may hold started-records. */
export type RegisteredAgent = { name: string; incarnation: string };

const processSchema = z.object({
  incarnation: z.string(),
  /** Wall-clock time at which a later process of the same agent was recorded. */
  replacedAt: z.number().optional(),
});

const recordSchema = z.object({ processes: z.array(processSchema) });

type AgentProcess = z.infer<typeof processSchema>;

/** True while a key that a replaced process may have started can still be submitted again. */
const isRetained = ({ replacedAt }: AgentProcess): boolean =>
  replacedAt === undefined || Date.now() < replacedAt + MAX_NOT_AFTER_MS + 2 * CLOCK_SKEW_MS;

/** The agent processes recorded in the store, so that a later owner knows whom to ask. */
export class AgentRegistry {
  /** Processes of each agent, newest first. */
  private readonly processes = new Map<string, AgentProcess[]>();

  private readonly revisions = new Map<string, number>();

  private constructor(
    private readonly store: Store,
    private readonly prefix: string,
    private readonly refresh: () => Promise<boolean>,
  ) {}

  /**
   * @param store - the store
   * @param prefix - beginning of the agents' keys
   * @param refresh - reads the store; false when it does not answer
   * @returns a registry that has read nothing
   */
  static create(store: Store, prefix: string, refresh: () => Promise<boolean>): AgentRegistry {
    return new AgentRegistry(store, prefix, refresh);
  }

  /** Every process that may hold started-records. */
  list(): RegisteredAgent[] {
    return [...this.processes].flatMap(([name, processes]) =>
      processes.filter(isRetained).map(({ incarnation }) => ({ name, incarnation })),
    );
  }

  /** Takes a record as read from the store. */
  update(name: string, stored: StoredValue): void {
    if ((this.revisions.get(name) ?? 0) >= stored.revision) return;
    this.revisions.set(name, stored.revision);
    this.processes.set(name, recordSchema.parse(JSON.parse(stored.value)).processes);
  }

  /**
   * Records an agent process.
   *
   * @param name - name of the agent
   * @param incarnation - its process
   * @returns true when the record is there and the map was read after it
   */
  async register(name: string, incarnation: string): Promise<boolean> {
    const isRecorded = () => this.processes.get(name)?.[0]?.incarnation === incarnation;
    if (isRecorded()) return true;
    if (!(await this.refresh())) return false;
    if (isRecorded()) return true;
    // Earlier processes stay listed: their started-records are lost, which an owner must know.
    const earlier = (this.processes.get(name) ?? [])
      .map((process) => ({ replacedAt: Date.now(), ...process }))
      .filter(isRetained);
    const value = JSON.stringify({ processes: [{ incarnation }, ...earlier] });
    const key = `${this.prefix}${name}`;
    const written = await swap(this.store, key, this.revisions.get(name) ?? 0, value);
    await this.refresh();
    return written.type === 'written' && isRecorded();
  }
}
