import type { WorkerCrash } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { CRASH_RETENTION_MS, MAX_REMEMBERED_CRASHES } from './constants';
import { createWorkerCrash, createWorkerLoss } from './createWorkerCrash';
import type { LostRun, Run } from './run';
import type { WorkerIdentity } from './WorkerClient';

/** What the reports need from their agent. */
export type CrashReportsHost = {
  /** Name of the agent. */
  name: string;
  /** Sends a report to all attached entries. */
  send: (report: WorkerCrash) => void;
  log: Log;
};

/** Reports crashes and silences of an agent's workers to the entries, also to those that attach later. */
export class CrashReports {
  private reports: { at: number; report: WorkerCrash }[] = [];

  private constructor(private readonly host: CrashReportsHost) {}

  /**
   * @param host - what the reports need from their agent
   * @returns no reports
   */
  static create(host: CrashReportsHost): CrashReports {
    return new CrashReports(host);
  }

  /**
   * Reports that a worker has crashed.
   *
   * @param worker - the crashed incarnation
   * @param lostRuns - the runs that it had
   */
  reportCrash(worker: WorkerIdentity, lostRuns: readonly LostRun[]): void {
    const { name, log } = this.host;
    this.add(createWorkerCrash(name, worker, lostRuns, log));
  }

  /**
   * Reports that runs were lost with a silent worker, which may have crashed.
   *
   * @param worker - the silent incarnation
   * @param runs - the runs whose leases have expired
   */
  reportLoss(worker: WorkerIdentity, runs: readonly Run[]): void {
    this.add(createWorkerLoss(this.host.name, worker, runs));
  }

  /** The reports that are not older than the retention time, oldest first. */
  get recent(): WorkerCrash[] {
    const oldestKept = performance.now() - CRASH_RETENTION_MS;
    return this.reports.filter(({ at }) => at >= oldestKept).map(({ report }) => report);
  }

  private add(report: WorkerCrash): void {
    this.reports = [...this.reports, { at: performance.now(), report }].slice(
      -MAX_REMEMBERED_CRASHES,
    );
    this.host.send(report);
  }
}
