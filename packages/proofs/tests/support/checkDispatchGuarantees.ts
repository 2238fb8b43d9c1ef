import { MAX_FAILED_RUNS } from './DispatchSimulation';
import type { DispatchSimulation, ObservedAnswer, SentJob } from './DispatchSimulation';
import type { ObservedRun } from './MemoryWorker';

/** Number of workers that have to crash under a task before its job may be answered as failed. */
const MIN_CRASHES = 2;

/** Number of crashes under a task from which its further starts are counted. */
const COUNTED_FROM_CRASHES = 3;

/** Number of starts after {@link COUNTED_FROM_CRASHES} crashes that violates the rule. */
const MAX_FURTHER_STARTS = 3;

/** A violated guarantee: the name of the rule and what violated it. */
export type Violation = { rule: string; detail: string };

type Observations = Pick<DispatchSimulation, 'runs' | 'overloads' | 'answers'>;

type RunsByTask = ReadonlyMap<string, readonly ObservedRun[]>;

const groupByTask = (runs: readonly ObservedRun[]): RunsByTask => {
  const runsByTask = new Map<string, ObservedRun[]>();
  runs.forEach((run) => runsByTask.set(run.task, [...(runsByTask.get(run.task) ?? []), run]));
  return runsByTask;
};

const tasksOf = ({ id, tasks }: SentJob): string[] =>
  Array.from({ length: tasks }, (_, index) => `${id}.0.0.${index}`);

const describeRun = ({ worker, run, startedAt, endedAt, how }: ObservedRun): string =>
  `${worker} (run ${run}, ${Math.round(startedAt)} to ${Math.round(endedAt)} ms, ${how})`;

const findOverlappingRuns = (runsByTask: RunsByTask): Violation[] =>
  [...runsByTask.values()].flatMap((list) => {
    const orderedRuns = [...list].sort((a, b) => a.startedAt - b.startedAt);
    return orderedRuns.flatMap((run, index) =>
      orderedRuns
        .slice(0, index)
        .filter(({ endedAt }) => endedAt > run.startedAt)
        .map((earlier) => ({
          rule: 'twice',
          detail: `${run.task} on ${describeRun(earlier)} and ${describeRun(run)}`,
        })),
    );
  });

const findPartialAnswers = (
  answers: readonly ObservedAnswer[],
  runsByTask: RunsByTask,
): Violation[] => {
  const isDone = (task: string) => runsByTask.get(task)?.some(({ how }) => how === 'done') ?? false;
  return answers
    .filter(({ job, outcome }) => outcome.type === 'completed' && !tasksOf(job).every(isDone))
    .map(({ job }) => ({ rule: 'partial', detail: job.id }));
};

const findFalseRefusals = (
  answers: readonly ObservedAnswer[],
  runsByTask: RunsByTask,
): Violation[] =>
  answers
    .filter(({ job, outcome, at }) => {
      const isLast = answers.filter((answer) => answer.job.id === job.id).pop()?.at === at;
      const hasActiveOrLaterRun = tasksOf(job).some((task) =>
        runsByTask.get(task)?.some(({ endedAt }) => endedAt > at - 1),
      );
      return outcome.type === 'refused' && isLast && hasActiveOrLaterRun;
    })
    .map(({ job }) => ({ rule: 'falseRefusal', detail: job.id }));

const findFalseFailures = (
  answers: readonly ObservedAnswer[],
  runsByTask: RunsByTask,
): Violation[] => {
  const mostRunsThatEnded = (job: SentJob, end: string): number =>
    Math.max(
      ...tasksOf(job).map(
        (task) => (runsByTask.get(task) ?? []).filter(({ how }) => how === end).length,
      ),
    );
  return answers
    .filter(
      ({ job, outcome }) =>
        outcome.type === 'failed' &&
        mostRunsThatEnded(job, 'failed') < MAX_FAILED_RUNS &&
        mostRunsThatEnded(job, 'crashed') < MIN_CRASHES,
    )
    .map(({ job }) => ({ rule: 'falseFailure', detail: job.id }));
};

const findOverspentCrashBudgets = (runsByTask: RunsByTask): Violation[] =>
  [...runsByTask].flatMap(([task, list]) => {
    const crashedAt = list
      .filter(({ how }) => how === 'crashed')
      .map(({ endedAt }) => endedAt)
      .sort((a, b) => a - b)[COUNTED_FROM_CRASHES - 1];
    const furtherStarts = list.filter(({ startedAt }) => startedAt > (crashedAt ?? Infinity));
    return furtherStarts.length >= MAX_FURTHER_STARTS
      ? [{ rule: 'crashBudget', detail: `${task}: ${furtherStarts.length} more starts` }]
      : [];
  });

const findStartsWhileLeaving = (runs: readonly ObservedRun[]): Violation[] =>
  runs
    .filter(({ isStartedWhileLeaving }) => isStartedWhileLeaving)
    .map(({ task, worker }) => ({ rule: 'leaving', detail: `${task} on ${worker}` }));

/**
 * Checks the guarantees of dispatch against what workers and clients observed:
 *
 * - `twice`: a task never has two active runs at the same time.
 * - `partial`: a job is answered as completed only when each of its tasks has a run that is done.
 * - `falseRefusal`: if the last answer to a job is a refusal, none of its runs is active then or
 *   starts later.
 * - `falseFailure`: a job fails only after one of its tasks has failed as often as its route
 *   allows, or two workers have crashed under one of its tasks.
 * - `crashBudget`: a task under which three workers have crashed is not started three times more.
 * - `leaving`: a worker starts no run later than a grace period after its first report that it
 *   leaves.
 * - `room`: the active runs of a worker never exceed its capacity.
 *
 * @param simulation - the runs, overloads and answers of a simulation
 * @returns every violation
 */
export const checkDispatchGuarantees = ({
  runs,
  overloads,
  answers,
}: Observations): Violation[] => {
  const runsByTask = groupByTask(runs);
  return [
    ...findOverlappingRuns(runsByTask),
    ...findPartialAnswers(answers, runsByTask),
    ...findFalseRefusals(answers, runsByTask),
    ...findFalseFailures(answers, runsByTask),
    ...findOverspentCrashBudgets(runsByTask),
    ...findStartsWhileLeaving(runs),
    ...overloads.map((detail) => ({ rule: 'room', detail })),
  ];
};
