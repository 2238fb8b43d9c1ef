/** Time for which a submitted job is remembered, in milliseconds. */
const RETENTION_MS = 60_000;

/** Largest number of jobs that are remembered. */
const MAX_JOBS = 20_000;

/** The jobs that were submitted to this entry lately, by which other entries learn that a copy of theirs is old. */
export class RecentJobs {
  /** Monotonic time of the newest submission of each job, in milliseconds; oldest first. */
  private readonly jobs = new Map<string, number>();

  /** Monotonic time since which all jobs are remembered, in milliseconds. */
  private completeSince = performance.now();

  private constructor() {}

  /** @returns no jobs */
  static create(): RecentJobs {
    return new RecentJobs();
  }

  /** Time for which all submitted jobs are remembered, in milliseconds. */
  get memoryMs(): number {
    return performance.now() - this.completeSince;
  }

  /**
   * Remembers a job.
   *
   * @param job - identifier of the job
   */
  add(job: string): void {
    const now = performance.now();
    this.jobs.delete(job);
    this.jobs.set(job, now);
    this.forgetOld(now);
  }

  /**
   * @param job - identifier of a job
   * @returns true when it was submitted lately
   */
  has(job: string): boolean {
    return this.jobs.has(job);
  }

  private forgetOld(now: number): void {
    // A map lists its entries in the order in which they were added.
    let [oldest] = this.jobs;
    while (oldest && (this.jobs.size > MAX_JOBS || now - oldest[1] > RETENTION_MS)) {
      const [job, at] = oldest;
      this.jobs.delete(job);
      this.completeSince = at;
      [oldest] = this.jobs;
    }
  }
}
