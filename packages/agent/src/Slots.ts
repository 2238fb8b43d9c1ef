import type { Credit } from '@marjorammast/protocol';

type Slot = {
  /** Raised whenever the slot is used or released, which invalidates older credits. */
  generation: number;
  /** Entry that holds the slot's credit or runs a task in it. */
  holder?: string;
  isRunning: boolean;
  /**
   * Monotonic time at which the slot became idle, was granted or was last audited, in milliseconds.
   */
  idleSince: number;
};

/** Credits of one entry. */
export type CreditGrant = { entry: string; credits: Credit[] };

/**
 * Distributes the slots of a target among the entries. A slot belongs to one entry at a time, which
 * holds a credit for it. A credit allows one start; its generation tells it from older credits for
 * the same slot.
 */
export class Slots {
  private slots: Slot[] = [];

  private constructor(private readonly tieBreakRankOf: (entry: string) => number) {}

  /**
   * @param tieBreakRankOf - rank of an entry among those that hold equally many slots; the lowest
   * rank wins
   * @returns an empty set of slots
   */
  static create(tieBreakRankOf: (entry: string) => number): Slots {
    return new Slots(tieBreakRankOf);
  }

  /** Number of slots. */
  get size(): number {
    return this.slots.length;
  }

  /** Number of slots in which a task runs. */
  get running(): number {
    return this.slots.filter((slot) => slot.isRunning).length;
  }

  /**
   * Sets the number of slots. Slots beyond it are dropped; tasks that run in them continue.
   *
   * @param size - new number
   */
  resize(size: number): void {
    while (this.slots.length < size) {
      this.slots.push({ generation: 1, isRunning: false, idleSince: 0 });
    }
    this.slots.length = size;
  }

  /** Takes back all idle slots, which invalidates the credits for them. */
  revokeIdle(): void {
    this.slots.filter((slot) => !slot.isRunning).forEach((slot) => this.releaseSlot(slot));
  }

  /**
   * Takes back the idle slots of one entry, which invalidates its credits for them.
   *
   * @param entry - name of the entry
   */
  releaseIdleOf(entry: string): void {
    this.slots.forEach((slot) => {
      if (slot.holder === entry && !slot.isRunning) this.releaseSlot(slot);
    });
  }

  /**
   * Checks a credit.
   *
   * @param credit - the credit sent with a start
   * @returns true when the slot is idle and the credit is the newest for it
   */
  isValid(credit: Credit): boolean {
    const slot = this.slots[credit.slot];
    return slot !== undefined && !slot.isRunning && slot.generation === credit.generation;
  }

  /**
   * Uses a valid credit, which marks its slot as running a task.
   *
   * @param credit - the credit
   * @param entry - name of the entry that sent it
   */
  use(credit: Credit, entry: string): void {
    const slot = this.slots[credit.slot];
    if (!slot) return;
    slot.isRunning = true;
    slot.holder = entry;
    slot.generation += 1;
  }

  /**
   * Marks a slot as idle after its task has ended.
   *
   * @param index - index of the slot
   * @param keep - whether its holder keeps the slot and gets the next credit for it
   * @param clock - monotonic time, in milliseconds
   * @returns the next credit, when the holder keeps the slot
   */
  finish(index: number, keep: boolean, clock: number): Credit | undefined {
    const slot = this.slots[index];
    if (!slot) return undefined;
    slot.isRunning = false;
    slot.idleSince = clock;
    if (!keep) {
      this.releaseSlot(slot);
      return undefined;
    }
    return { slot: index, generation: slot.generation };
  }

  /**
   * Gives each idle slot without a holder to the entry that holds the fewest slots.
   *
   * @param entries - names of the connected entries
   * @param clock - monotonic time, in milliseconds
   * @returns the new credits, grouped by entry
   */
  distribute(entries: readonly string[], clock: number): CreditGrant[] {
    if (entries.length === 0) return [];
    const held = new Map(entries.map((entry) => [entry, this.countHeldBy(entry)]));
    const creditsByEntry = new Map<string, Credit[]>();
    this.slots.forEach((slot, index) => {
      if (slot.holder !== undefined || slot.isRunning) return;
      const entry = this.pickHolder(held);
      Object.assign(slot, { holder: entry, idleSince: clock });
      held.set(entry, (held.get(entry) ?? 0) + 1);
      const credits = creditsByEntry.get(entry) ?? [];
      credits.push({ slot: index, generation: slot.generation });
      creditsByEntry.set(entry, credits);
    });
    return [...creditsByEntry].map(([entry, credits]) => ({ entry, credits }));
  }

  /**
   * Lists the credits of slots that have been idle since before a given time.
   *
   * @param before - monotonic time, in milliseconds
   * @returns the credits, grouped by the entry that should hold them
   */
  idleBefore(before: number): CreditGrant[] {
    const idle = new Map<string, Credit[]>();
    this.slots.forEach((slot, index) => {
      if (slot.holder === undefined || slot.isRunning || slot.idleSince >= before) return;
      const credits = idle.get(slot.holder) ?? [];
      credits.push({ slot: index, generation: slot.generation });
      idle.set(slot.holder, credits);
    });
    return [...idle].map(([entry, credits]) => ({ entry, credits }));
  }

  /**
   * Applies the answer to an audit: takes back slots whose credit the entry no longer holds.
   *
   * @param credits - credits that the entry was asked about
   * @param held - indexes of the slots whose credit the entry still holds
   * @param clock - monotonic time, in milliseconds
   */
  applyAudit(credits: readonly Credit[], held: readonly number[], clock: number): void {
    credits
      .filter((credit) => this.isValid(credit))
      .forEach(({ slot: index }) => {
        const slot = this.slots[index];
        if (!slot) return;
        slot.idleSince = clock;
        if (!held.includes(index)) this.releaseSlot(slot);
      });
  }

  private releaseSlot(slot: Slot): void {
    Object.assign(slot, { holder: undefined, generation: slot.generation + 1 });
  }

  private countHeldBy(entry: string): number {
    return this.slots.filter((slot) => slot.holder === entry).length;
  }

  private pickHolder(held: Map<string, number>): string {
    const order = [...held.entries()].sort(
      (a, b) => a[1] - b[1] || this.tieBreakRankOf(a[0]) - this.tieBreakRankOf(b[0]),
    );
    return order[0]?.[0] ?? '';
  }
}
