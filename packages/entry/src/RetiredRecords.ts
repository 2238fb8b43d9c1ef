import { RECORD_RETENTION_MS } from '@marjorammast/protocol';
import type { StartRecord } from '@marjorammast/protocol';

type RetiredProcess = { records: StartRecord[]; keepUntil: number };

const processKey = (agent: string, incarnation: string): string => `${agent}#${incarnation}`;

/** Start records that agent processes sent when they stopped gracefully. */
export class RetiredRecords {
  private readonly byProcess = new Map<string, RetiredProcess>();

  private constructor() {}

  /** @returns an empty collection */
  static create(): RetiredRecords {
    return new RetiredRecords();
  }

  /** Stores the records of a process for the retention time. */
  add(agent: string, incarnation: string, records: StartRecord[]): void {
    const keepUntil = Date.now() + RECORD_RETENTION_MS;
    this.byProcess.set(processKey(agent, incarnation), { records, keepUntil });
  }

  /** Returns the records of a process, or `undefined` if it sent none to this entry. */
  find(agent: string, incarnation: string): StartRecord[] | undefined {
    return this.byProcess.get(processKey(agent, incarnation))?.records;
  }

  /** Deletes the records whose retention time has passed. */
  expire(): void {
    const now = Date.now();
    this.byProcess.forEach(({ keepUntil }, key) => {
      if (keepUntil < now) this.byProcess.delete(key);
    });
  }
}
