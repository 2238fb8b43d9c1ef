import { z } from 'zod';

const count = z.number().int().nonnegative();

/** Room in the dimensions that a worker is divided by. */
export const resourcesSchema = z.object({
  /** Thousandths of a core. */
  cpu: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
});

/** What an agent tells entries about its worker. */
export const workerViewSchema = z.object({
  service: z.string(),
  /** Kind of the worker and its rack. */
  labels: z.array(z.string()),
  capacity: resourcesSchema,
  free: resourcesSchema,
  /** `open` takes work; `trial` takes one task to show that it is sound again. */
  state: z.enum(['open', 'trial', 'closed']),
  /** Why the worker is not open; empty when it is. */
  reason: z.string(),
  /** Measured run time over estimated run time, averaged. */
  slowness: z.number().positive(),
});

/** Why an agent did not take a task; the task has not run. */
export const declineReasonSchema = z.enum([
  'room',
  'closed',
  'dataCenterOut',
  'otherService',
  'missingLabel',
  'workerLimit',
  'stale',
  'lowRun',
]);

/**
 * How a run ended: `notRun` never began; `lapsed` may have run in part and runs no more;
 * `stalled` was stopped because it made too little progress.
 */
export const runEndSchema = z.enum(['done', 'failed', 'stopped', 'stalled', 'lapsed', 'notRun']);

/** A queue: which requests it takes and how its jobs run. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Beginning of the path; the longest that fits is chosen. */
  prefix: z.string(),
  /** Service whose workers run the jobs. */
  service: z.string(),
  /** Time allowed for one request, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Part of the latency objective that does not depend on the work, in milliseconds. */
  targetLatencyMs: z.number().nonnegative(),
  /** Part of the latency objective in units of the longest task. */
  stretch: z.number().nonnegative(),
  /** 0 comes first. */
  priority: z.number(),
  /** Failed runs of one task after which its job has failed. */
  attempts: z.number().int().positive(),
  /** True when an outside service names the workers that may run a step. */
  needsAdvice: z.boolean(),
});

/** What operators have written, as of one revision of the store. */
export const operatorStateSchema = z.object({
  revision: count,
  /** Version of the operators' configuration; 0 when there is none that can be read. */
  version: count,
  routes: z.array(routeSchema),
  outDataCenters: z.array(z.string()),
});

/** The part of the operators' configuration that the gate of a worker needs. */
export const gateRulesSchema = z.object({
  /** Revision of the store at which these rules were read. */
  revision: count,
  outDataCenters: z.array(z.string()),
});

/** Calls between entries and the gates of workers. */
export const dispatchCallSchemas = {
  /** Entry to agent, first call on a connection; the agent then sends `view` on each change. */
  attach: {
    params: z.object({ entry: z.string(), rules: gateRulesSchema }),
    result: z.object({
      agent: z.string(),
      dataCenter: z.string(),
      rules: gateRulesSchema,
      view: workerViewSchema,
      /** The agent's clock, to be sent back with `assign`. */
      clock: z.number(),
    }),
  },
  /** Entry to agent: run tasks of one step. */
  assign: {
    params: z.object({
      job: z.string(),
      occurrence: count,
      step: count,
      service: z.string(),
      spec: z.string(),
      needs: resourcesSchema,
      label: z.string().optional(),
      /** Most tasks of the step that one worker runs at a time; 0 for no limit. */
      maxPerWorker: count,
      estimateMs: z.number().nonnegative(),
      /** Slowness of the fast workers that the entry knows. */
      bestSlowness: z.number().positive(),
      /** Rows of the task's index and the number of this run. */
      runs: z.array(z.tuple([count, count])),
      /** Newest reading of the agent's clock that the entry has received. */
      echo: z.number(),
      /** Time since the entry received `echo`, in milliseconds. */
      heldMs: z.number(),
    }),
    result: z.object({
      /** Indexes that were taken. */
      taken: z.array(count),
      /** Why the others were not. */
      reason: declineReasonSchema.optional(),
      free: resourcesSchema,
      clock: z.number(),
    }),
  },
  /** Entry to agent: the tasks of these jobs are no longer wanted. */
  abandon: { params: z.object({ jobs: z.array(z.string()) }), result: z.object({}) },
  /** Entry to agent: the entry lives and still wants its runs. */
  renew: { params: z.object({}), result: z.object({ clock: z.number() }) },
  /** Agent to entry: runs that have ended. */
  ended: {
    params: z.object({
      /** Rows of job, task, run, how it ended, time since it was taken in milliseconds. */
      runs: z.array(z.tuple([z.string(), count, count, runEndSchema, z.number()])),
      free: resourcesSchema,
    }),
    result: z.object({}),
  },
  /** Agent to entry: the worker's state or room has changed. */
  view: { params: workerViewSchema, result: z.object({}) },
  /** Entry to entry: what operators have written, for a peer that the store turns away. */
  operatorState: {
    params: z.object({}),
    result: z.object({ state: operatorStateSchema.optional() }),
  },
  /** Either way: newer rules for the gate. */
  rules: { params: gateRulesSchema, result: z.object({}) },
} as const;

/** Inferred from {@link resourcesSchema}. */
export type Resources = z.infer<typeof resourcesSchema>;
/** Inferred from {@link workerViewSchema}. */
export type WorkerView = z.infer<typeof workerViewSchema>;
/** Inferred from {@link declineReasonSchema}. */
export type DeclineReason = z.infer<typeof declineReasonSchema>;
/** Inferred from {@link runEndSchema}. */
export type RunEnd = z.infer<typeof runEndSchema>;
/** Inferred from {@link routeSchema}. */
export type Route = z.infer<typeof routeSchema>;
/** Inferred from {@link operatorStateSchema}. */
export type OperatorState = z.infer<typeof operatorStateSchema>;
/** Inferred from {@link gateRulesSchema}. */
export type GateRules = z.infer<typeof gateRulesSchema>;
