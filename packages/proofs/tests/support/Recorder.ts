import type { Answer } from '@marjorammast/protocol';

/** Everything that was seen from outside the system. */
export type Observations = {
  /** Every start at a target. */
  starts: { at: number; job: string; index: number; target: string; dataCenter: string }[];
  /** Every end at a target. */
  ends: { at: number; job: string; index: number }[];
  /** Every answer that a caller got. */
  answers: { at: number; job: string; count: number; answer: Answer }[];
  /** Every change that an operator asked for; `acceptedAt` when it was told to be in force. */
  changes: { askedAt: number; acceptedAt?: number; out: string[] }[];
  /** Every version that came into force at a node, by process. */
  versions: { at: number; node: string; process: string; version: number }[];
  /** Planned stops during which a caller's request got no answer. */
  cut: { at: number; job: string; entry: string }[];
  /** Jobs that at the end had no answer. */
  unanswered: string[];
};

/** A promise that was broken. */
export type Violation = { promise: string; detail: string };

/** Time after an accepted withdrawal in which starts are still allowed, in milliseconds. */
const WITHDRAWAL_MS = 3_000;

/** @returns observations of nothing */
export const createObservations = (): Observations => ({
  starts: [],
  ends: [],
  answers: [],
  changes: [],
  versions: [],
  cut: [],
  unanswered: [],
});

const checkStartedOnce = ({ starts }: Observations): Violation[] => {
  const seen = new Map<string, number>();
  starts.forEach(({ job, index }) => {
    const key = `${job}#${index}`;
    seen.set(key, (seen.get(key) ?? 0) + 1);
  });
  return [...seen]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => ({
      promise: 'started at most once',
      detail: `${key}: ${count} starts`,
    }));
};

const checkWhole = ({ answers, ends }: Observations): Violation[] =>
  answers.flatMap(({ at, job, count, answer }) => {
    if (answer.type !== 'complete') return [];
    const expected = Array.from({ length: count }, (_, index) => `${job}#${index}`);
    const isWhole = JSON.stringify(answer.results) === JSON.stringify(expected);
    const ended = new Set(
      ends.filter((end) => end.job === job && end.at <= at).map(({ index }) => index),
    );
    if (isWhole && ended.size === count) return [];
    return [{ promise: 'complete, and its own', detail: `${job}: ${JSON.stringify(answer)}` }];
  });

const checkNotRun = ({ answers, starts }: Observations): Violation[] =>
  answers.flatMap(({ at, job, answer }) => {
    if (answer.type !== 'failed' || answer.failure.verdict !== 'notRun') return [];
    const earlier = starts.filter((start) => start.job === job && start.at <= at);
    if (earlier.length === 0) return [];
    return [
      {
        promise: 'notRun is true',
        detail: `${job}: ${earlier.length} starts, ${answer.failure.code}`,
      },
    ];
  });

const checkOneAnswer = ({ answers }: Observations): Violation[] => {
  const completed = new Set(
    answers.filter(({ answer }) => answer.type === 'complete').map(({ job }) => job),
  );
  const final = ['taskFailed', 'cancelled', 'deadlineExceeded'];
  return answers.flatMap(({ job, answer }) =>
    answer.type === 'failed' && final.includes(answer.failure.code) && completed.has(job)
      ? [{ promise: 'one answer', detail: `${job}: complete and ${answer.failure.code}` }]
      : [],
  );
};

const checkWithdrawals = ({ changes, starts }: Observations): Violation[] =>
  changes.flatMap(({ askedAt, acceptedAt = Infinity, out }) =>
    out.flatMap((dataCenter) => {
      const returns = changes.filter(
        (other) => other.askedAt > askedAt && !other.out.includes(dataCenter),
      );
      const returnedAt = Math.min(Infinity, ...returns.map((other) => other.askedAt));
      return starts
        .filter((start) => start.dataCenter === dataCenter)
        .filter(({ at }) => at > acceptedAt + WITHDRAWAL_MS && at < returnedAt)
        .map(({ job, index, at }) => ({
          promise: 'no start in a data centre that is out',
          detail: `${job}#${index} in ${dataCenter}, ${at - acceptedAt} ms after acceptance`,
        }));
    }),
  );

const checkVersions = ({ versions }: Observations): Violation[] => {
  const newest = new Map<string, number>();
  return versions.flatMap(({ node, process, version }) => {
    const before = newest.get(process) ?? -1;
    newest.set(process, Math.max(before, version));
    if (version >= before) return [];
    return [{ promise: 'configuration never reverts', detail: `${node}: ${before} to ${version}` }];
  });
};

const checkCut = ({ cut }: Observations): Violation[] =>
  cut.map(({ job, entry }) => ({
    promise: 'a planned stop cuts nothing',
    detail: `${job} at ${entry}`,
  }));

const checkAnswered = ({ unanswered }: Observations): Violation[] =>
  unanswered.map((job) => ({ promise: 'every job is answered', detail: job }));

/**
 * Checks what was seen against the promises.
 *
 * @param seen - observations of one run
 * @returns the broken promises
 */
export const check = (seen: Observations): Violation[] => [
  ...checkStartedOnce(seen),
  ...checkWhole(seen),
  ...checkNotRun(seen),
  ...checkOneAnswer(seen),
  ...checkWithdrawals(seen),
  ...checkVersions(seen),
  ...checkCut(seen),
  ...checkAnswered(seen),
];
