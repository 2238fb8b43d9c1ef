import type { Credit } from '@marjorammast/protocol';

/**
 * Idle credits that one entry holds, by agent. A credit allows one start in one slot of the agent's
 * target.
 */
export class CreditPool {
  private readonly idle = new Map<string, Credit[]>();

  private count = 0;

  private constructor() {}

  /** @returns an empty pool */
  static create(): CreditPool {
    return new CreditPool();
  }

  /** Number of idle credits. */
  get size(): number {
    return this.count;
  }

  /** Agents with at least one idle credit. */
  agents(): IterableIterator<string> {
    return this.idle.keys();
  }

  /** Adds idle credits of an agent. */
  add(agent: string, credits: readonly Credit[]): void {
    if (credits.length === 0) return;
    const list = this.idle.get(agent) ?? [];
    list.push(...credits);
    this.idle.set(agent, list);
    this.count += credits.length;
  }

  /** Removes and returns one credit of an agent. */
  take(agent: string): Credit | undefined {
    const list = this.idle.get(agent);
    const credit = list?.pop();
    if (!credit) return undefined;
    this.count -= 1;
    if (list?.length === 0) this.idle.delete(agent);
    return credit;
  }

  /** Removes the credits of an agent for the given slots, or for all slots. */
  remove(agent: string, slots?: readonly number[]): void {
    const list = this.idle.get(agent) ?? [];
    const kept = slots ? list.filter(({ slot }) => !slots.includes(slot)) : [];
    this.count -= list.length - kept.length;
    if (kept.length > 0) this.idle.set(agent, kept);
    else this.idle.delete(agent);
  }

  /** Returns the slots of those of the given credits that are in the pool. */
  heldSlots(agent: string, credits: readonly Credit[]): number[] {
    const list = this.idle.get(agent) ?? [];
    return credits
      .filter(({ slot, generation }) =>
        list.some((credit) => credit.slot === slot && credit.generation === generation),
      )
      .map(({ slot }) => slot);
  }

  /**
   * Removes and returns credits, spread evenly over the agents.
   *
   * @param limit - maximum number of credits
   * @returns the credits with their agents
   */
  takeMany(limit: number): { agent: string; credit: Credit }[] {
    const taken: { agent: string; credit: Credit }[] = [];
    let agents = [...this.idle.keys()];
    while (taken.length < limit && agents.length > 0) {
      agents.forEach((agent) => {
        const credit = taken.length < limit ? this.take(agent) : undefined;
        if (credit) taken.push({ agent, credit });
      });
      agents = [...this.idle.keys()];
    }
    return taken;
  }
}
