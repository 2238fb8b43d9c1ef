import type { Answer } from '@marjorammast/protocol';

/** Everything that was observed from outside the system; times are monotonic, in milliseconds. */
export type Observations = {
  /** Every start of a task at a target. */
  starts: { at: number; job: string; index: number; target: string; dataCenter: string }[];
  /** Every end of a task at a target. */
  ends: { at: number; job: string; index: number }[];
  /** Every answer that a client received; `count` is the number of tasks of the job. */
  answers: { at: number; job: string; count: number; answer: Answer }[];
  /**
   * Every change of the data centres that are out, as an operator asked for it; `acceptedAt` is the
   * time at which the operator was told that the change is in force.
   */
  changes: { askedAt: number; acceptedAt?: number; out: string[] }[];
  /**
   * Every configuration version that took effect at a node; `process` identifies the process of the
   * node, which a restart replaces.
   */
  versions: { at: number; node: string; process: string; version: number }[];
  /** Requests of clients that got no answer because their entry was stopped gracefully. */
  cutRequests: { at: number; job: string; entry: string }[];
  /** Jobs that had no answer at the end. */
  unanswered: string[];
};

/** A violated guarantee and what violated it. */
export type Violation = { guarantee: string; detail: string };

/**
 * Time after a data centre was taken out in which starts there are still allowed, in milliseconds.
 */
const TAKE_OUT_GRACE_MS = 3_000;

/** @returns empty observations */
export const createObservations = (): Observations => ({
  starts: [],
  ends: [],
  answers: [],
  changes: [],
  versions: [],
  cutRequests: [],
  unanswered: [],
});

/** No task starts more than once. */
const checkStartedOnce = ({ starts }: Observations): Violation[] => {
  const counts = new Map<string, number>();
  starts.forEach(({ job, index }) => {
    const key = `${job}#${index}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => ({
      guarantee: 'started at most once',
      detail: `${key}: ${count} starts`,
    }));
};

/** Every complete answer has all results of its own job, and all tasks ended before it. */
const checkCompleteAnswers = ({ answers, ends }: Observations): Violation[] =>
  answers.flatMap(({ at, job, count, answer }) => {
    if (answer.type !== 'complete') return [];
    const expected = Array.from({ length: count }, (_, index) => `${job}#${index}`);
    const isComplete = JSON.stringify(answer.results) === JSON.stringify(expected);
    const ended = new Set(
      ends.filter((end) => end.job === job && end.at <= at).map(({ index }) => index),
    );
    if (isComplete && ended.size === count) return [];
    return [{ guarantee: 'complete, and its own', detail: `${job}: ${JSON.stringify(answer)}` }];
  });

/** No task of a job has started before an answer with the verdict `notRun`. */
const checkNotRunVerdicts = ({ answers, starts }: Observations): Violation[] =>
  answers.flatMap(({ at, job, answer }) => {
    if (answer.type !== 'failed' || answer.failure.verdict !== 'notRun') return [];
    const earlierStarts = starts.filter((start) => start.job === job && start.at <= at);
    if (earlierStarts.length === 0) return [];
    return [
      {
        guarantee: 'notRun is true',
        detail: `${job}: ${earlierStarts.length} starts, ${answer.failure.code}`,
      },
    ];
  });

/** No job is answered both as complete and with a final failure. */
const checkConsistentAnswers = ({ answers }: Observations): Violation[] => {
  const completed = new Set(
    answers.filter(({ answer }) => answer.type === 'complete').map(({ job }) => job),
  );
  const finalCodes = ['taskFailed', 'cancelled', 'deadlineExceeded'];
  return answers.flatMap(({ job, answer }) =>
    answer.type === 'failed' && finalCodes.includes(answer.failure.code) && completed.has(job)
      ? [{ guarantee: 'one answer', detail: `${job}: complete and ${answer.failure.code}` }]
      : [],
  );
};

/** No task starts in a data centre that is out, after a grace period. */
const checkTakenOutDataCenters = ({ changes, starts }: Observations): Violation[] =>
  changes.flatMap(({ askedAt, acceptedAt = Infinity, out }) =>
    out.flatMap((dataCenter) => {
      const laterReturns = changes.filter(
        (other) => other.askedAt > askedAt && !other.out.includes(dataCenter),
      );
      const returnedAt = Math.min(Infinity, ...laterReturns.map((other) => other.askedAt));
      return starts
        .filter((start) => start.dataCenter === dataCenter)
        .filter(({ at }) => at > acceptedAt + TAKE_OUT_GRACE_MS && at < returnedAt)
        .map(({ job, index, at }) => ({
          guarantee: 'no start in a data centre that is out',
          detail: `${job}#${index} in ${dataCenter}, ${at - acceptedAt} ms after acceptance`,
        }));
    }),
  );

/** No process goes back to an older configuration version. */
const checkVersions = ({ versions }: Observations): Violation[] => {
  const newest = new Map<string, number>();
  return versions.flatMap(({ node, process, version }) => {
    const previous = newest.get(process) ?? -1;
    newest.set(process, Math.max(previous, version));
    if (version >= previous) return [];
    return [
      { guarantee: 'configuration never reverts', detail: `${node}: ${previous} to ${version}` },
    ];
  });
};

const checkPlannedStops = ({ cutRequests }: Observations): Violation[] =>
  cutRequests.map(({ job, entry }) => ({
    guarantee: 'a planned stop cuts nothing',
    detail: `${job} at ${entry}`,
  }));

const checkJobsAnswered = ({ unanswered }: Observations): Violation[] =>
  unanswered.map((job) => ({ guarantee: 'every job is answered', detail: job }));

/**
 * Checks the guarantees of the system against the observations of one run.
 *
 * @param observations - the observations
 * @returns every violation
 */
export const checkGuarantees = (observations: Observations): Violation[] => [
  ...checkStartedOnce(observations),
  ...checkCompleteAnswers(observations),
  ...checkNotRunVerdicts(observations),
  ...checkConsistentAnswers(observations),
  ...checkTakenOutDataCenters(observations),
  ...checkVersions(observations),
  ...checkPlannedStops(observations),
  ...checkJobsAnswered(observations),
];
