import type { Credit } from '@marjorammast/protocol';

type Slot = {
  generation: number;
  /** Entry that holds the slot's credit or runs a task in it. */
  holder?: string;
  isRunning: boolean;
  idleSince: number;
};

/** Credits newly given to one entry. */
export type Grant = { entry: string; credits: Credit[] };

/** Gives each slot of the target to one entry at a time, as a credit that is used once. */
export class Slots {
  private slots: Slot[] = [];

  private constructor(private readonly rank: (entry: string) => number) {}

  /**
   * @param rank - order among entries that hold equally many slots
   * @returns an empty set of slots
   */
  static create(rank: (entry: string) => number): Slots {
    return new Slots(rank);
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
   * Sets the number of slots. Slots in use beyond it end with their task.
   *
   * @param size - new number
   */
  resize(size: number): void {
    while (this.slots.length < size) {
      this.slots.push({ generation: 1, isRunning: false, idleSince: 0 });
    }
    this.slots.length = size;
  }

  /** Takes back all idle slots; credits already given become invalid. */
  revokeIdle(): void {
    this.slots.filter((slot) => !slot.isRunning).forEach((slot) => this.free(slot));
  }

  /**
   * Takes back the idle slots of one entry.
   *
   * @param entry - name of the entry
   */
  release(entry: string): void {
    this.slots.forEach((slot) => {
      if (slot.holder === entry && !slot.isRunning) this.free(slot);
    });
  }

  /**
   * Checks a credit.
   *
   * @param credit - the credit shown with a start
   * @returns true when it is the slot's newest and the slot is idle
   */
  isValid(credit: Credit): boolean {
    const slot = this.slots[credit.slot];
    return slot !== undefined && !slot.isRunning && slot.generation === credit.generation;
  }

  /**
   * Uses a valid credit.
   *
   * @param credit - the credit
   * @param entry - entry that showed it
   */
  take(credit: Credit, entry: string): void {
    const slot = this.slots[credit.slot];
    if (!slot) return;
    slot.isRunning = true;
    slot.holder = entry;
    slot.generation += 1;
  }

  /**
   * Ends the use of a slot.
   *
   * @param index - the slot
   * @param keep - whether its holder gets the next credit
   * @param clock - monotonic time, in milliseconds
   * @returns the next credit, when the holder keeps the slot
   */
  finish(index: number, keep: boolean, clock: number): Credit | undefined {
    const slot = this.slots[index];
    if (!slot) return undefined;
    slot.isRunning = false;
    slot.idleSince = clock;
    if (!keep) {
      this.free(slot);
      return undefined;
    }
    return { slot: index, generation: slot.generation };
  }

  /**
   * Gives idle slots without a holder to the entries that hold the fewest.
   *
   * @param entries - entries that can be reached
   * @param clock - monotonic time, in milliseconds
   * @returns credits by entry
   */
  distribute(entries: readonly string[], clock: number): Grant[] {
    if (entries.length === 0) return [];
    const held = new Map(entries.map((entry) => [entry, this.heldBy(entry)]));
    const grants = new Map<string, Credit[]>();
    this.slots.forEach((slot, index) => {
      if (slot.holder !== undefined || slot.isRunning) return;
      const entry = this.pickHolder(held);
      Object.assign(slot, { holder: entry, idleSince: clock });
      held.set(entry, (held.get(entry) ?? 0) + 1);
      const credits = grants.get(entry) ?? [];
      credits.push({ slot: index, generation: slot.generation });
      grants.set(entry, credits);
    });
    return [...grants].map(([entry, credits]) => ({ entry, credits }));
  }

  /**
   * Lists credits that have been idle for long, by presumed holder.
   *
   * @param before - monotonic time, in milliseconds
   * @returns idle credits by entry
   */
  idleBefore(before: number): Grant[] {
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
   * Notes the answer to an audit: slots that their holder no longer has are taken back.
   *
   * @param credits - credits asked about
   * @param held - slots that the holder still has
   * @param clock - monotonic time, in milliseconds
   */
  settleAudit(credits: readonly Credit[], held: readonly number[], clock: number): void {
    credits
      .filter((credit) => this.isValid(credit))
      .forEach(({ slot: index }) => {
        const slot = this.slots[index];
        if (!slot) return;
        slot.idleSince = clock;
        if (!held.includes(index)) this.free(slot);
      });
  }

  private free(slot: Slot): void {
    Object.assign(slot, { holder: undefined, generation: slot.generation + 1 });
  }

  private heldBy(entry: string): number {
    return this.slots.filter((slot) => slot.holder === entry).length;
  }

  private pickHolder(held: Map<string, number>): string {
    const order = [...held.entries()].sort(
      (a, b) => a[1] - b[1] || this.rank(a[0]) - this.rank(b[0]),
    );
    return order[0]?.[0] ?? '';
  }
}
