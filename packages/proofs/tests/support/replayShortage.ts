import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Queueing } from '@marjorammast/dispatch';
import { DispatchSimulation } from './DispatchSimulation';

/** A kind of jobs, as on the deployments with a shortage of capacity. */
type Kind = { route: string; priority: number; tasks: number; runMs: number; workShare: number };

const KINDS: readonly Kind[] = [
  { route: 'urgent', priority: 0, tasks: 8, runMs: 86, workShare: 0.2 },
  { route: 'middle', priority: 1, tasks: 2, runMs: 286, workShare: 0.5 },
  { route: 'long', priority: 2, tasks: 4, runMs: 1_286, workShare: 0.3 },
];

/** Shares of the jobs that the entries get: one is busy, the last two are quiet. */
const ENTRY_SHARES = [0.6, 0.2, 0.1, 0.1] as const;

const WORKERS = 4;

/** CPU capacity of a worker, and what a task needs, in thousandths of a core. */
const WORKER_CPU = 3_000;
const TASK_CPU = 300;

const SLOTS = (WORKERS * WORKER_CPU) / TASK_CPU;

/** Time in which jobs arrive, in milliseconds. */
const LENGTH_MS = 8_000;

const STRETCH = 1.6;

const TARGET_LATENCY_MS = 60;

/** A job is of no use to its client after this many times its objective. */
const USEFUL_OBJECTIVES = 3;

const SAMPLE_MS = 5;

/** What a replay has shown. */
export type ShortageFigures = {
  jobs: number;
  /** Credit of all jobs: 1 in time, falling to 0 at three times the objective, as a mean. */
  credit: number;
  creditByKind: Record<string, number>;
  /** Mean time of the completed urgent jobs beyond their run time, in milliseconds. */
  urgentWaitMs: number;
  /** Share of the urgent jobs that are late or refused. */
  urgentLate: number;
  creditBusyEntry: number;
  creditQuietEntries: number;
  /** Assignments of tasks that came to nothing, by job: declined, or queued and given back. */
  wastedPerJob: number;
  queued: number;
  unqueued: number;
  /** Share of the capacity that was idle while tasks waited. */
  idleShare: number;
  overloads: number;
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/**
 * Replays more demand than capacity over several entries with old views, with Jest's fake timers.
 *
 * @param seed - seed of the arrivals and of the simulation
 * @param load - demand in parts of the capacity
 * @param queueing - how tasks wait at agents; they do not if absent
 * @returns the figures
 */
export const replayShortage = async (
  seed: number,
  load: number,
  queueing?: Queueing,
): Promise<ShortageFigures> => {
  const simulation = DispatchSimulation.create(
    seed,
    ENTRY_SHARES.length,
    WORKERS,
    WORKER_CPU,
    undefined,
    queueing,
  );
  const [template] = simulation.operatorState.routes;
  if (!template) throw new Error('no route');
  const routes = KINDS.map(({ route, priority }) => ({
    ...template,
    name: route,
    prefix: `/${route}/`,
    priority,
    stretch: STRETCH,
    targetLatencyMs: TARGET_LATENCY_MS,
  }));
  simulation.changeOperatorState({ version: 4, routes });
  await jest.advanceTimersByTimeAsync(1_500);
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const sent = new Map<string, { kind: Kind; entry: number; at: number }>();
  const startAt = performance.now();
  KINDS.forEach((kind) => {
    const jobsPerMs = (load * SLOTS * kind.workShare) / (kind.tasks * kind.runMs);
    for (let at = 0; at < LENGTH_MS; at += -Math.log(1 - random()) / jobsPerMs) {
      const draw = random();
      const bounds = ENTRY_SHARES.map((_, index) =>
        ENTRY_SHARES.slice(0, index + 1).reduce((sum, share) => sum + share, 0),
      );
      const entry = Math.max(
        0,
        bounds.findIndex((bound) => draw < bound),
      );
      const id = (sent.size + 1).toString(16).padStart(16, '0');
      sent.set(id, { kind, entry, at: startAt + at });
      const job = {
        id,
        route: kind.route,
        tasks: kind.tasks,
        spec: { runMs: kind.runMs, cpu: TASK_CPU },
        estimateMs: kind.runMs,
        deadlineMs: USEFUL_OBJECTIVES * (STRETCH * kind.runMs + TARGET_LATENCY_MS) + 200,
      };
      setTimeout(() => void simulation.send(job, entry, 9_000), at);
    }
  });
  let idleSlots = 0;
  let samples = 0;
  for (let at = 0; at < LENGTH_MS; at += SAMPLE_MS) {
    await jest.advanceTimersByTimeAsync(SAMPLE_MS);
    const waits =
      simulation.entries.some(({ node }) => node.dispatcher.queuedJobs > 0) ||
      simulation.agents.some(({ node }) => node.queuedTasks > 0);
    if (at < 1_000) continue;
    samples += 1;
    const running = simulation.runs.filter(({ endedAt }) => endedAt === Infinity).length;
    if (waits) idleSlots += Math.max(0, SLOTS - running);
  }
  await jest.advanceTimersByTimeAsync(6_000);
  simulation.halt();
  const credits = new Map([...sent.keys()].map((id) => [id, 0]));
  const urgentWaits: number[] = [];
  simulation.answers.forEach(({ job, outcome, at }) => {
    const origin = sent.get(job.id);
    if (!origin || outcome.type !== 'completed') return;
    const { kind } = origin;
    const objectiveMs = STRETCH * kind.runMs + TARGET_LATENCY_MS;
    const ms = at - origin.at;
    const credit = ms <= objectiveMs ? 1 : (USEFUL_OBJECTIVES - ms / objectiveMs) / 2;
    credits.set(job.id, Math.max(0, credit));
    if (kind.priority === 0) urgentWaits.push(ms - kind.runMs);
  });
  const creditOf = (isWanted: (origin: { kind: Kind; entry: number }) => boolean) =>
    mean([...sent].filter(([, origin]) => isWanted(origin)).map(([id]) => credits.get(id) ?? 0));
  const urgent = [...sent].filter(([, { kind }]) => kind.priority === 0);
  const { declined, queued, unqueued } = simulation.admissions;
  return {
    jobs: sent.size,
    credit: creditOf(() => true),
    creditByKind: Object.fromEntries(
      KINDS.map(({ route }) => [route, creditOf(({ kind }) => kind.route === route)]),
    ),
    urgentWaitMs: mean(urgentWaits),
    urgentLate: mean(urgent.map(([id]) => ((credits.get(id) ?? 0) < 1 ? 1 : 0))),
    creditBusyEntry: creditOf(({ entry }) => entry === 0),
    creditQuietEntries: creditOf(({ entry }) => entry >= 2),
    wastedPerJob: (declined + unqueued) / sent.size,
    queued,
    unqueued,
    idleShare: idleSlots / Math.max(1, samples) / SLOTS,
    overloads: simulation.overloads.length,
  };
};
