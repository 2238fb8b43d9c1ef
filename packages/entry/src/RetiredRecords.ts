import { RECORD_RETENTION_MS } from '@marjorammast/protocol';
import type { StartRecord } from '@marjorammast/protocol';

type RetiredProcess = { records: StartRecord[]; keepUntil: number };

const processKey = (agent: string, incarnation: string): string => `${agent}#${incarnation}`;

/** Started-records of agent processes that have stopped gracefully. */
export class RetiredRecords {
  private readonly byProcess = new Map<string, RetiredProcess>();

  private constructor() {}

  /** @returns an empty collection */
  static create(): RetiredRecords {
    return new RetiredRecords();
  }

  /** Keeps the records of a process. */
  add(agent: string, incarnation: string, records: StartRecord[]): void {
    const keepUntil = Date.now() + RECORD_RETENTION_MS;
    this.byProcess.set(processKey(agent, incarnation), { records, keepUntil });
  }

  /** The records of a process, if it has left them here. */
  find(agent: string, incarnation: string): StartRecord[] | undefined {
    return this.byProcess.get(processKey(agent, incarnation))?.records;
  }

  /** Forgets records whose retention has passed. */
  expire(): void {
    const now = Date.now();
    this.byProcess.forEach(({ keepUntil }, key) => {
      if (keepUntil < now) this.byProcess.delete(key);
    });
  }
}
