import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createLog } from '@marjorammast/telemetry';
import type { ActiveJob } from '../src/ActiveJob';
import { DECLINE_PAUSE_MS, MAX_LATENESS_FACTOR, RESERVED_TASKS } from '../src/constants';
import { placeTasks } from '../src/placeTasks';
import type { Candidate } from '../src/placeTasks';
import { ScarcePlacement } from '../src/ScarcePlacement';
import type { PlacementOptions } from '../src/ScarcePlacement';
import { sortWaitingJobs } from '../src/sortWaitingJobs';

/** Kinds of jobs, with the part of the work that each is while the long kind arrives 2.2 times as often. */
const KINDS = [
  { kind: 'urgent', priority: 0, count: 8, taskMs: 86, workShare: 0.166 },
  { kind: 'middle', priority: 1, count: 2, taskMs: 286, workShare: 0.375 },
  { kind: 'long', priority: 2, count: 4, taskMs: 1_286, workShare: 0.459 },
] as const;

type Kind = (typeof KINDS)[number]['kind'];

/** Tasks that a worker runs at the same time. */
const SLOTS = 10;

const FAST_WORKERS = 18;

const SLOW_WORKERS = 6;

const FAST_SLOWNESS = 1 / 1.2;

const SLOW_SLOWNESS = 1 / 0.55;

/** Work that all workers together do in a millisecond, in milliseconds of tasks. */
const CAPACITY = SLOTS * (FAST_WORKERS / FAST_SLOWNESS + SLOW_WORKERS / SLOW_SLOWNESS);

/** Largest error of a client's estimate, as a part of the time of a task. */
const ESTIMATE_ERROR = 0.4;

/** Largest deviation of a task from the others of its job, as a part of its time. */
const TASK_DEVIATION = 0.15;

/** Time of a message between an entry and an agent, in milliseconds. */
const MESSAGE_MS = 4;

/** Time between two views of a worker that an entry gets without a message of its own, in milliseconds. */
const VIEW_PERIOD_MS = 120;

/** Time after the last arrival for which the replay goes on, in milliseconds. */
const DRAIN_MS = 7_000;

/** Load of one replay. */
export type UnevenLoad = {
  /** Work that arrives, as a part of the capacity of all workers. */
  utilization: number;
  /** Time in which jobs arrive, in milliseconds. */
  lengthMs: number;
  seed: number;
  /** Number of entries, which know of the runs of the others only through views. */
  entries: number;
  placement: PlacementOptions;
  /** Whether the objective by which jobs are judged follows from the client's estimate or the real time of a task. */
  objectiveOf: 'estimate' | 'task';
};

/** Jobs of one kind, and how many of them were answered in time, or late but still of use. */
export type KindResult = { jobs: number; inTime: number; late: number };

/** What became of the jobs. */
export type ReplayResult = {
  kinds: Record<Kind, KindResult>;
  /** Placements in their order, for a comparison of two replays. */
  placements: string[];
  /** Largest number of tasks that ran on a worker at the same time. */
  maxRunning: number;
};

type Worker = { name: string; slowness: number; running: number };

type ReplayedJob = {
  kind: Kind;
  estimateMs: number;
  arrivedAt: number;
  objectiveMs: number;
  /** Objective by which the job is judged, in milliseconds. */
  judgedMs: number;
  /** Times of its waiting tasks on a worker of slowness 1, in milliseconds. */
  waiting: number[];
  unfinished: number;
  mayHaveRun: boolean;
  lastEndAt: number;
  route: { name: string; priority: number };
};

type View = { worker: Worker; free: number; pausedUntil: number };

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const createJobs = ({ utilization, lengthMs, seed, objectiveOf }: UnevenLoad): ReplayedJob[] => {
  const random = createRandom(seed);
  const spread = (part: number) => 1 + part * (2 * random() - 1);
  return KINDS.flatMap(({ kind, priority, count, taskMs, workShare }) => {
    const meanGapMs = (count * taskMs) / (utilization * workShare * CAPACITY);
    const jobs: ReplayedJob[] = [];
    let arrivedAt = -Math.log(1 - random()) * meanGapMs;
    while (arrivedAt < lengthMs) {
      const estimateMs = taskMs * spread(ESTIMATE_ERROR);
      jobs.push({
        kind,
        estimateMs,
        arrivedAt,
        objectiveMs: 1.6 * estimateMs + 60,
        judgedMs: 1.6 * (objectiveOf === 'task' ? taskMs : estimateMs) + 60,
        waiting: Array.from({ length: count }, () => taskMs * spread(TASK_DEVIATION)),
        unfinished: count,
        mayHaveRun: false,
        lastEndAt: Infinity,
        route: { name: kind, priority },
      });
      arrivedAt -= Math.log(1 - random()) * meanGapMs;
    }
    return jobs;
  }).sort((a, b) => a.arrivedAt - b.arrivedAt);
};

const inOrder = (jobs: Iterable<ReplayedJob>, now: number): ReplayedJob[] => {
  const queued = [...jobs].map((job) => {
    const { arrivedAt, objectiveMs, route, estimateMs } = job;
    return { job, objectiveAt: arrivedAt + objectiveMs, route, step: { estimateMs } };
  });
  const sorted = sortWaitingJobs(queued as unknown as ActiveJob[], () => FAST_SLOWNESS, now);
  return sorted.map(({ job }) => (job as unknown as (typeof queued)[number]).job);
};

const summarize = (jobs: readonly ReplayedJob[]): Record<Kind, KindResult> => {
  const resultOf = (wanted: Kind): KindResult => {
    const times = jobs
      .filter(({ kind }) => kind === wanted)
      .map(({ lastEndAt, arrivedAt, judgedMs }) => (lastEndAt - arrivedAt) / judgedMs);
    const inTime = times.filter((time) => time <= 1).length;
    const late = times.filter((time) => time > 1 && time <= MAX_LATENESS_FACTOR).length;
    return { jobs: times.length, inTime, late };
  };
  return { urgent: resultOf('urgent'), middle: resultOf('middle'), long: resultOf('long') };
};

const createWorkers = (): Worker[] =>
  Array.from({ length: FAST_WORKERS + SLOW_WORKERS }, (_, index) => ({
    name: `w-${index}`,
    slowness: index < FAST_WORKERS ? FAST_SLOWNESS : SLOW_SLOWNESS,
    running: 0,
  }));

/** Things to do, by the millisecond in which they are done. */
const createTimeline = () => {
  const actions = new Map<number, (() => void)[]>();
  return {
    add: (at: number, action: () => void): void => {
      const key = Math.ceil(at);
      const others = actions.get(key);
      if (others) others.push(action);
      else actions.set(key, [action]);
    },
    run: (now: number): void => {
      actions.get(now)?.forEach((action) => action());
      actions.delete(now);
    },
  };
};

/** What the entries of a replay share. */
type Scene = {
  load: UnevenLoad;
  workers: readonly Worker[];
  timeline: ReturnType<typeof createTimeline>;
  random: () => number;
  placements: string[];
};

/** Creates an entry, which places its jobs by its own views of the workers. */
const createEntry = ({ load, workers, timeline, random, placements }: Scene) => {
  const placement = ScarcePlacement.create(load.placement, createLog('replay', 'silent'));
  const queue = new Set<ReplayedJob>();
  const views: View[] = workers.map((worker) => ({ worker, free: SLOTS, pausedUntil: 0 }));
  const viewOf = new Map(views.map((view) => [view.worker.name, view]));

  const refresh = (view: View): void => {
    Object.assign(view, { free: SLOTS - view.worker.running, pausedUntil: 0 });
  };

  const admit = (job: ReplayedJob, view: View, tasks: readonly number[], now: number): void => {
    const { worker } = view;
    const admitted = tasks.slice(0, SLOTS - worker.running);
    const declined = tasks.slice(admitted.length);
    worker.running += admitted.length;
    admitted.forEach((taskMs) => {
      const endAt = Math.ceil(now + taskMs * worker.slowness);
      timeline.add(endAt, () => {
        worker.running -= 1;
      });
      timeline.add(endAt + MESSAGE_MS, () => {
        refresh(view);
        placement.recordRun(job.kind, endAt - now, worker.slowness);
        job.unfinished -= 1;
        if (job.unfinished === 0) job.lastEndAt = endAt + MESSAGE_MS;
      });
    });
    timeline.add(now + MESSAGE_MS, () => {
      refresh(view);
      if (declined.length === 0) return;
      view.pausedUntil = now + MESSAGE_MS + DECLINE_PAUSE_MS;
      job.waiting.push(...declined);
      queue.add(job);
    });
  };

  const findCandidates = (reserved: number, now: number): Candidate[] =>
    views
      .filter(({ free, pausedUntil }) => free > 0 && now >= pausedUntil)
      .map(({ worker: { name, slowness }, free }) => ({
        agent: name,
        isLocal: true,
        isNearData: true,
        slowness,
        fittingTasks: Math.max(0, free - reserved),
      }));

  const place = (job: ReplayedJob, now: number): void => {
    const { kind, estimateMs, arrivedAt, objectiveMs } = job;
    const goal = {
      estimateMs,
      expectedMs: placement.expectedMs(kind, estimateMs),
      slackMs: arrivedAt + objectiveMs - now,
      bestSlowness: FAST_SLOWNESS,
    };
    const rule = placement.ruleFor('desk', () => true, now);
    [RESERVED_TASKS, 0].forEach((reserved) => {
      const candidates = findCandidates(reserved, now);
      const count = job.waiting.length;
      placeTasks(candidates, { ...goal, count }, random, rule).forEach((placed) => {
        const view = viewOf.get(placed.agent);
        if (!view) return;
        const tasks = job.waiting.splice(0, placed.count);
        view.free -= placed.count;
        job.mayHaveRun = true;
        placements.push(`${now} ${kind} ${placed.agent} ${placed.count}`);
        timeline.add(now + MESSAGE_MS, () => admit(job, view, tasks, now + MESSAGE_MS));
      });
    });
  };

  const runPass = (now: number): void => {
    if (queue.size === 0) return;
    const free = views
      .filter(({ worker, pausedUntil }) => worker.slowness === FAST_SLOWNESS && now >= pausedUntil)
      .reduce((sum, view) => sum + view.free, 0);
    placement.recordFreeShare('desk', free / (SLOTS * FAST_WORKERS), now);
    inOrder(queue, now).forEach((job) => {
      const usefulUntil = job.arrivedAt + MAX_LATENESS_FACTOR * job.objectiveMs;
      const isHopeless = now + job.estimateMs * FAST_SLOWNESS > usefulUntil;
      if (!job.mayHaveRun && isHopeless) queue.delete(job);
      else if (views.some((view) => view.free > 0)) place(job, now);
      if (job.waiting.length === 0) queue.delete(job);
    });
    if (queue.size > 0) placement.recordWaiting('desk', now);
  };

  return { queue, views, refresh, runPass };
};

/**
 * Replays jobs on fast and slow workers with the placement rules of the dispatcher and without a network, in steps
 * of a millisecond.
 *
 * @param load - the load
 * @returns what became of the jobs
 */
export const replayUnevenWorkers = (load: UnevenLoad): ReplayResult => {
  const jobs = createJobs(load);
  const workers = createWorkers();
  const timeline = createTimeline();
  const placements: string[] = [];
  const scene = { load, workers, timeline, random: createRandom(load.seed + 1), placements };
  const entries = Array.from({ length: load.entries }, () => createEntry(scene));
  let arrived = 0;
  let maxRunning = 0;
  for (let now = 0; now < load.lengthMs + DRAIN_MS; now += 1) {
    timeline.run(now);
    for (let job = jobs[arrived]; job && job.arrivedAt <= now; job = jobs[arrived]) {
      entries[arrived % entries.length]?.queue.add(job);
      arrived += 1;
    }
    entries.forEach(({ views, refresh, runPass }, entryIndex) => {
      views
        .filter((_, index) => (now + 7 * index + 31 * entryIndex) % VIEW_PERIOD_MS === 0)
        .forEach(refresh);
      runPass(now);
    });
    maxRunning = Math.max(maxRunning, ...workers.map(({ running }) => running));
  }
  return { kinds: summarize(jobs), placements, maxRunning };
};
