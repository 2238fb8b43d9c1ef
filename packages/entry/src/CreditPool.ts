import type { Credit } from '@marjorammast/protocol';

/** Credits that one entry holds and does not use, by agent. */
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

  /** Adds credits of an agent. */
  add(agent: string, credits: readonly Credit[]): void {
    if (credits.length === 0) return;
    const list = this.idle.get(agent) ?? [];
    list.push(...credits);
    this.idle.set(agent, list);
    this.count += credits.length;
  }

  /** Takes one credit of an agent. */
  take(agent: string): Credit | undefined {
    const list = this.idle.get(agent);
    const credit = list?.pop();
    if (!credit) return undefined;
    this.count -= 1;
    if (list?.length === 0) this.idle.delete(agent);
    return credit;
  }

  /** Forgets the credits of some slots, or of all slots, of an agent. */
  remove(agent: string, slots?: readonly number[]): void {
    const list = this.idle.get(agent) ?? [];
    const kept = slots ? list.filter(({ slot }) => !slots.includes(slot)) : [];
    this.count -= list.length - kept.length;
    if (kept.length > 0) this.idle.set(agent, kept);
    else this.idle.delete(agent);
  }

  /** Which of the slots of an agent are held idle. */
  heldSlots(agent: string, credits: readonly Credit[]): number[] {
    const list = this.idle.get(agent) ?? [];
    return credits
      .filter(({ slot, generation }) =>
        list.some((credit) => credit.slot === slot && credit.generation === generation),
      )
      .map(({ slot }) => slot);
  }

  /**
   * Takes up to a number of credits, spread over the agents.
   *
   * @param limit - most credits to take
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
