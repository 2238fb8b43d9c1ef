import * as z from 'zod';

const count = z.number().int().nonnegative();

/** Amounts of the resources that the tasks on a worker share. */
export const resourcesSchema = z.object({
  /** Thousandths of a core. */
  cpu: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
});

/** Report of an agent's queue. Absent while no entry has asked to queue tasks, and from agents without a queue. */
const queueFields = {
  /** Estimated time until a task that is queued at the agent now would start, in milliseconds. */
  queueMs: z.number().nonnegative().optional(),
  /** Tasks of routes with this priority or a less urgent one find no place; absent: there is place for all. */
  queueFullFor: z.number().optional(),
};

/** State of a worker, which its agent sends to the entries. */
export const workerViewSchema = z.object({
  service: z.string(),
  /** Labels of the worker, such as its kind and its rack; a task may require one. */
  labels: z.array(z.string()),
  capacity: resourcesSchema,
  free: resourcesSchema,
  /**
   * `open`: the agent admits tasks. `trial`: after an ejection, the agent admits one task at a time
   * until one succeeds, like a half-open circuit breaker. `closed`: the agent admits none.
   */
  state: z.enum(['open', 'trial', 'closed']),
  /** Why the worker is closed; empty when it is open or on trial. */
  reason: z.string(),
  /** Ratio of actual to estimated run time, averaged over recent runs. */
  slowness: z.number().positive(),
  /** Identifies the incarnation of the worker; empty without a worker. */
  incarnation: z.string().default(''),
  ...queueFields,
});

/**
 * Why an agent declined a task, which has then not run. `room`: too few free resources, or a worker
 * on trial already runs a task. `workerLimit`: the step already has its maximum of runs on this
 * worker. `probation`: the worker has just started a task that is suspected to have crashed another
 * worker. `stale`: the assignment was too old on arrival. `lowRun`: a run of the task is still
 * active on this worker.
 */
export const declineReasonSchema = z.enum([
  'room',
  'closed',
  'dataCenterOut',
  'otherService',
  'missingLabel',
  'workerLimit',
  'probation',
  'stale',
  'lowRun',
]);

/**
 * How a run ended. `notRun`: the run never started. `lapsed`: its lease expired or its worker was
 * replaced; it may have run in part but is no longer active. `stalled`: the agent stopped it for
 * lack of progress. `unqueued`: it waited at the agent and was never sent to the worker.
 */
export const runEndSchema = z.enum([
  'done',
  'failed',
  'stopped',
  'stalled',
  'lapsed',
  'notRun',
  'unqueued',
]);

/** Crash of one incarnation of a worker, or its silence, which may be a crash. */
export const workerCrashSchema = z.object({
  /** False while it is not known whether the worker has crashed or only does not answer. */
  isCertain: z.boolean().default(true),
  /** Identifies the incarnation. */
  incarnation: z.string(),
  /** Name of the worker's agent. */
  agent: z.string(),
  /** The runs that the worker had, or may have had. */
  runs: z.array(
    z.object({
      job: z.string(),
      index: count,
      route: z.string(),
      /** The run had just been started, so that it may be the cause. */
      isSuspect: z.boolean(),
      /** The worker has accepted or listed the run; otherwise it may not have started. */
      wasStarted: z.boolean(),
    }),
  ),
});

/**
 * Tasks of which a start got no answer, as rows of job, task index and identifier of the worker. That worker, or
 * its next incarnation under this identifier, may still carry the start out, so that the task may be started on
 * no other worker.
 */
export const unsettledTasksSchema = z.array(z.tuple([z.string(), count, z.string()]));

/**
 * The same as an entry tells it to others, as rows of job, task index, name of the worker's agent and identifier of
 * the worker.
 */
export const boundTasksSchema = z.array(z.tuple([z.string(), count, z.string(), z.string()]));

/** Routing rule: which requests it matches and how their jobs run. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path prefix; the route with the longest matching prefix is chosen. */
  prefix: z.string(),
  /** Service whose workers run the tasks. */
  service: z.string(),
  /** Timeout of one request, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Fixed part of the latency objective, in milliseconds. */
  targetLatencyMs: z.number().nonnegative(),
  /**
   * Variable part of the latency objective, as a multiple of the longest task's estimated run time.
   */
  stretch: z.number().nonnegative(),
  /** Lower numbers are served first; 0 is the highest priority. */
  priority: z.number(),
  /** Number of failed runs of one task after which its job fails. */
  attempts: z.number().int().positive(),
  /** True when an external service selects the workers that may run a step. */
  needsAdvice: z.boolean(),
});

/**
 * What the operators have set: their configuration and the evacuated data centres, as of one
 * revision of the store.
 */
export const operatorStateSchema = z.object({
  revision: count,
  /** Version of the operators' configuration; 0 when none could be read. */
  version: count,
  routes: z.array(routeSchema),
  outDataCenters: z.array(z.string()),
});

/** The part of the operator state that agents need for admission control. */
export const admissionRulesSchema = z.object({
  /** Revision of the store at which the rules were read. */
  revision: count,
  outDataCenters: z.array(z.string()),
});

/**
 * Calls of the dispatch design: between entries (`DispatchEntry`) and the agents of workers
 * (`GateAgent`), and between these entries.
 */
export const dispatchCallSchemas = {
  /**
   * Entry to agent, first call on a connection. From then on the agent sends `view` on each change.
   */
  attach: {
    params: z.object({ entry: z.string(), rules: admissionRulesSchema }),
    result: z.object({
      agent: z.string(),
      dataCenter: z.string(),
      rules: admissionRulesSchema,
      view: workerViewSchema,
      /** Recent crashes of the agent's workers. */
      crashes: z.array(workerCrashSchema).default([]),
      /** Tasks of recent starts without an answer. */
      unsettled: unsettledTasksSchema.default([]),
      /** Reading of the agent's clock, which the entry sends back as `echo` of `assign`. */
      clock: z.number(),
    }),
  },
  /** Entry to agent: starts runs of tasks of one step. */
  assign: {
    params: z.object({
      job: z.string(),
      occurrence: count,
      step: count,
      service: z.string(),
      /** Name of the job's route. */
      route: z.string().default(''),
      /** A worker crashed just after it had started one of the tasks. */
      isSuspect: z.boolean().default(false),
      /** Runs of the tasks have failed or stalled on another worker, so the tasks may be the cause. */
      hasFailedElsewhere: z.boolean().default(false),
      spec: z.string(),
      needs: resourcesSchema,
      label: z.string().optional(),
      /** Limit on concurrent tasks of the step per worker; 0 for no limit. */
      maxPerWorker: count,
      estimateMs: z.number().nonnegative(),
      /** First quartile of the slowness of the service's open workers, as the entry knows it. */
      bestSlowness: z.number().positive(),
      /** Pairs of task index and run number. */
      runs: z.array(z.tuple([count, count])),
      /** Latest reading of the agent's clock that the entry has received. */
      echo: z.number(),
      /** Time since the entry received `echo`, in milliseconds. */
      heldMs: z.number(),
      /** Priority of the job's route; lower numbers start first among the tasks that wait at the agent. */
      priority: z.number().optional(),
      /** Time until the job's latency objective, in milliseconds; negative once it has passed. */
      objectiveInMs: z.number().optional(),
      /** Longest time for which a task may wait at the agent, in milliseconds; absent or 0: none waits. */
      maxQueueMs: z.number().nonnegative().optional(),
    }),
    result: z.object({
      /** Indexes of the admitted tasks. */
      taken: z.array(count),
      /** Indexes of the tasks that wait at the agent until the worker has room for them. */
      queued: z.array(count).optional(),
      /** Why the other tasks were declined. */
      reason: declineReasonSchema.optional(),
      ...queueFields,
      free: resourcesSchema,
      clock: z.number(),
      /** Tasks of this entry's runs whose starts have no answer yet. */
      unsettled: unsettledTasksSchema.default([]),
    }),
  },
  /** Entry to agent: stops the runs of these jobs, whose results are no longer needed. */
  abandon: { params: z.object({ jobs: z.array(z.string()) }), result: z.object({}) },
  /**
   * Entry to agent: shows that the entry is alive. When an entry with runs stays silent, the agent
   * closes the connection and stops these runs.
   */
  renew: {
    params: z.object({}),
    result: z.object({
      clock: z.number(),
      /** Tasks of this entry's runs whose starts have no answer yet. */
      unsettled: unsettledTasksSchema.default([]),
    }),
  },
  /** Agent to entry: reports runs that have ended. */
  ended: {
    params: z.object({
      /** Tuples of job, task index, run number, end, and time since admission in milliseconds. */
      runs: z.array(z.tuple([z.string(), count, count, runEndSchema, z.number()])),
      free: resourcesSchema,
      ...queueFields,
    }),
    result: z.object({}),
  },
  /**
   * Agent to entry: the worker has crashed, or was silent until the leases of its runs had expired. The ends
   * of its runs are reported by themselves, once they are certain.
   */
  crash: { params: workerCrashSchema, result: z.object({}) },
  /** Agent to entry: starts of tasks have got no answer. Sent to all entries, which may have the same job. */
  unsettled: { params: z.object({ unsettled: unsettledTasksSchema }), result: z.object({}) },
  /**
   * Entry to entry: the sender has ended a job unfinished, and starts of these of its tasks got no answer. The job may
   * be submitted again to any entry.
   */
  bound: { params: z.object({ bound: boundTasksSchema }), result: z.object({}) },
  /** Agent to entry: the worker's state or its free resources have changed. */
  view: { params: workerViewSchema, result: z.object({}) },
  /**
   * Entry to entry: reads the operator state, for a caller that knows of a newer revision than the
   * store has delivered to it, for example because the store rejects its reads.
   */
  operatorState: {
    params: z.object({}),
    result: z.object({ state: operatorStateSchema.optional() }),
  },
  /** Entry to agent or agent to entry: newer admission rules. */
  rules: { params: admissionRulesSchema, result: z.object({}) },
} as const;

/** Inferred from {@link resourcesSchema}. */
export type Resources = z.infer<typeof resourcesSchema>;
/** Inferred from {@link workerViewSchema}. */
export type WorkerView = z.infer<typeof workerViewSchema>;
/** Inferred from {@link declineReasonSchema}. */
export type DeclineReason = z.infer<typeof declineReasonSchema>;
/** Inferred from {@link runEndSchema}. */
export type RunEnd = z.infer<typeof runEndSchema>;
/** Inferred from {@link workerCrashSchema}. */
export type WorkerCrash = z.infer<typeof workerCrashSchema>;
/** Inferred from {@link unsettledTasksSchema}. */
export type UnsettledTasks = z.infer<typeof unsettledTasksSchema>;
/** Inferred from {@link boundTasksSchema}. */
export type BoundTaskRows = z.infer<typeof boundTasksSchema>;
/** Inferred from {@link routeSchema}. */
export type Route = z.infer<typeof routeSchema>;
/** Inferred from {@link operatorStateSchema}. */
export type OperatorState = z.infer<typeof operatorStateSchema>;
/** Inferred from {@link admissionRulesSchema}. */
export type AdmissionRules = z.infer<typeof admissionRulesSchema>;
