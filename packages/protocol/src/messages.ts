import * as z from 'zod';
import { claimCallSchemas } from './claimMessages';
import { clusterMapSchema } from './clusterMap';
import { dispatchCallSchemas } from './dispatchMessages';
import { releaseSchema, agentConfigurationSchema } from './environment';
import { forwardCallSchemas } from './forwardMessages';
import { answerSchema, submissionSchema } from './job';

/** Single-use permission to start one task in one slot of an agent's target. */
export const creditSchema = z.object({
  slot: z.number().int(),
  /** Raised whenever the slot is used or revoked, which invalidates older credits. */
  generation: z.number().int(),
});

/** Result of one task at its target. */
export const outcomeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('done'), result: z.json() }),
  z.object({ type: z.literal('error'), detail: z.string() }),
  /** The connection to the target broke, or the task was cancelled while it ran. */
  z.object({ type: z.literal('unknown'), detail: z.string() }),
]);

/**
 * Why an agent refused a `start`. `staleEpoch`: the agent knows a higher epoch of the shard.
 * `staleNews`: the entry's configuration may be out of date. `staleCredit`: the credit was used or
 * revoked. `configurationBehind`: the agent has an older configuration than the entry. `expired`:
 * the deadline or `notAfter` has passed. `duplicate`: the task has already started here. `revoked`:
 * an `outcome` call has barred the task from starting here.
 */
export const refusalSchema = z.enum([
  'staleEpoch',
  'staleNews',
  'staleCredit',
  'configurationBehind',
  'dataCenterOut',
  'targetDraining',
  'noTarget',
  'expired',
  'duplicate',
  'revoked',
]);

/** An agent's record of one started task. */
export const startRecordSchema = z.object({
  job: z.string(),
  index: z.number().int(),
  /** Number of tasks in the job. */
  count: z.number().int(),
  /** Digest of the job's submission. */
  digest: z.string(),
  notAfter: z.number(),
  /** Absent while the task runs. */
  outcome: outcomeSchema.optional(),
});

const claimSchema = z.object({ shard: z.number().int(), epoch: z.number().int() });

const eventSchema = z.object({
  /** Hybrid logical clock: milliseconds and a counter. */
  time: z.tuple([z.number(), z.number()]),
  node: z.string(),
  type: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

const taskStateSchema = z.object({
  index: z.number().int(),
  /** Agent that was asked to start the task, if any was. */
  agent: z.string().optional(),
  incarnation: z.string().optional(),
  outcome: outcomeSchema.optional(),
});

/** State of one job during the transfer to another entry. */
export const jobStateSchema = z.object({
  id: z.string(),
  digest: z.string(),
  notAfter: z.number(),
  /** Absent for a job that is known only from the start records of agents. */
  submission: submissionSchema.optional(),
  deadlineLeftMs: z.number(),
  tasks: z.array(taskStateSchema),
  answer: answerSchema.optional(),
});

const sender = z.object({ from: z.string() });
const empty = z.object({});

/**
 * Heartbeat with an entry's view of the cluster. Each entry requests it from its peers to check that
 * its own configuration (environment and cluster map) is current.
 */
export type Heartbeat = {
  /** Version of the environment in force at the entry. */
  version: number;
  /** Revision of the cluster map. */
  mapRevision: number;
  /** Time since the last successful read of the store, in milliseconds. */
  storeAgeMs: number;
  /** True while the outcome of a write to the store is unknown. */
  unsettled: boolean;
  /** Names of the entries that do not answer. */
  unreachable: string[];
};

/**
 * Compact form of a {@link Heartbeat} without field names, since each pair of entries exchanges one
 * every second.
 */
const wireHeartbeatSchema = z
  .tuple([z.number().int(), z.number().int(), z.number(), z.literal([0, 1])])
  .rest(z.string());

/**
 * Encodes a heartbeat.
 *
 * @param heartbeat - the heartbeat
 * @returns version, map revision, store age in milliseconds, unsettled (0 or 1), unreachable names
 */
export const encodeHeartbeat = (heartbeat: Heartbeat): z.infer<typeof wireHeartbeatSchema> => [
  heartbeat.version,
  heartbeat.mapRevision,
  Math.ceil(heartbeat.storeAgeMs),
  heartbeat.unsettled ? 1 : 0,
  ...heartbeat.unreachable,
];

/**
 * Decodes a heartbeat.
 *
 * @param wire - the heartbeat as received
 * @returns the heartbeat
 */
export const decodeHeartbeat = ([
  version,
  mapRevision,
  storeAgeMs,
  unsettled,
  ...unreachable
]: z.infer<typeof wireHeartbeatSchema>): Heartbeat => ({
  version,
  mapRevision,
  storeAgeMs,
  unsettled: unsettled === 1,
  unreachable,
});

/**
 * Parameters and result of every call between two processes. Besides those of the dispatch design
 * these are the calls of the first design, between `Entry` and `Agent` processes. There, the
 * gateway of a job is the entry to which a client sent it, and its owner is the entry that owns its
 * shard.
 */
export const callSchemas = {
  ...dispatchCallSchemas,
  ...forwardCallSchemas,
  ...claimCallSchemas,
  /** Agent to entry, first call on a connection: registers the agent. */
  hello: {
    params: z.object({
      agent: z.string(),
      incarnation: z.string(),
      dataCenter: z.string(),
      slots: z.number().int(),
      /** Reading of the agent's clock, which the entry sends back as `echo` of `start`. */
      clock: z.number(),
    }),
    result: z.object({
      entry: z.string(),
      /**
       * False while the store cannot record the agent; the entry may not send `start` until then.
       */
      registered: z.boolean(),
      /** Current epoch of every shard. */
      epochs: z.array(z.number().int()),
      /** RPC addresses of the entries. */
      entries: z.array(z.string()),
      slice: agentConfigurationSchema,
    }),
  },
  /** Agent to entry: grants credits for idle slots. */
  grant: {
    params: z.object({ credits: z.array(creditSchema), clock: z.number() }),
    result: empty,
  },
  /** Agent to entry: revokes credits, for example because the target has left. */
  revoke: { params: z.object({ slots: z.array(z.number().int()) }), result: empty },
  /** Agent to entry: asks which of these idle credits the entry still holds. */
  audit: {
    params: z.object({ credits: z.array(creditSchema) }),
    /** The slots whose credits the entry still holds. */
    result: z.object({ held: z.array(z.number().int()) }),
  },
  /** Entry to agent: starts one task; the result follows when the task ends. */
  start: {
    params: z.object({
      job: z.string(),
      index: z.number().int(),
      count: z.number().int(),
      digest: z.string(),
      notAfter: z.number(),
      shard: z.number().int(),
      epoch: z.number().int(),
      kind: z.string(),
      payload: z.json(),
      /** Time left until the task's deadline, in milliseconds. */
      deadlineMs: z.number(),
      /** Version of the configuration that the entry has. */
      version: z.number().int(),
      /** Age of the entry's view of the configuration when it sent the call, in milliseconds. */
      newsAgeMs: z.number(),
      /** Latest reading of the agent's clock that the entry has received. */
      echo: z.number(),
      /** Time since the entry received `echo`, in milliseconds. */
      heldMs: z.number(),
      credit: creditSchema,
    }),
    result: z.discriminatedUnion('type', [
      z.object({
        type: z.literal('finished'),
        outcome: outcomeSchema,
        runMs: z.number(),
        clock: z.number(),
        /** Next credit for the slot, if the entry may keep the slot. */
        credit: creditSchema.optional(),
      }),
      z.object({
        type: z.literal('refused'),
        refusal: refusalSchema,
        clock: z.number(),
        credit: creditSchema.optional(),
      }),
    ]),
  },
  /**
   * Entry to agent: rejects lower epochs of these shards from now on and returns the start records.
   */
  fence: {
    params: z.object({ claims: z.array(claimSchema) }),
    result: z.object({ incarnation: z.string(), records: z.array(startRecordSchema) }),
  },
  /** Agent to entry: the agent shuts down and hands over its start records. */
  retire: { params: z.object({ records: z.array(startRecordSchema) }), result: empty },
  /** Entry to agent: waits for the end of a task, or bars a task that has not started here. */
  outcome: {
    params: z.object({ job: z.string(), index: z.number().int(), notAfter: z.number() }),
    result: z.discriminatedUnion('type', [
      z.object({ type: z.literal('finished'), outcome: outcomeSchema }),
      z.object({ type: z.literal('barred') }),
    ]),
  },
  /** Entry to agent: cancels a task whose result is no longer needed. */
  cancel: { params: z.object({ job: z.string(), index: z.number().int() }), result: empty },
  /** Entry to agent: sends the configuration in force. */
  configure: {
    params: z.object({ slice: agentConfigurationSchema, entries: z.array(z.string()) }),
    result: z.object({ version: z.number().int() }),
  },
  /** Any process to any other: reads recent events of the timeline. */
  events: {
    params: z.object({ sinceMs: z.number(), job: z.string().optional() }),
    result: z.object({ events: z.array(eventSchema) }),
  },
  /** Entry to entry: reads the peer's heartbeat. */
  news: {
    params: empty,
    result: wireHeartbeatSchema,
  },
  /** Entry to entry, first call on a connection: identifies the process at the other end. */
  identify: { params: empty, result: z.object({ incarnation: z.string() }) },
  /**
   * Entry to entry: reads the peer's configuration and cluster map, which are newer than the
   * caller's.
   */
  catchUp: {
    params: sender,
    result: z.object({
      release: releaseSchema.optional(),
      map: clusterMapSchema,
      mapRevision: z.number().int(),
    }),
  },
  /**
   * Gateway to owner: submits a job or joins one in progress; the result follows the job's answer.
   */
  submit: {
    params: z.object({
      submission: submissionSchema,
      deadlineLeftMs: z.number(),
      /** True when the key was certainly not sent to any owner before. */
      isFirst: z.boolean(),
    }),
    result: z.discriminatedUnion('type', [
      z.object({ type: z.literal('answer'), answer: answerSchema }),
      z.object({ type: z.literal('notOwner'), mapRevision: z.number().int() }),
    ]),
  },
  /** Gateway to owner: reads the state of a job by its identifier. */
  find: {
    params: z.object({ id: z.string() }),
    result: z.discriminatedUnion('type', [
      z.object({ type: z.literal('answer'), answer: answerSchema }),
      z.object({ type: z.literal('running'), done: z.number(), count: z.number() }),
      z.object({ type: z.literal('unknown') }),
      z.object({ type: z.literal('notOwner'), mapRevision: z.number().int() }),
    ]),
  },
  /** Gateway to owner: cancels a job. */
  cancelJob: {
    params: z.object({ id: z.string() }),
    /** `owner` is false when the called entry does not own the job's shard. */
    result: z.object({ found: z.boolean(), owner: z.boolean() }),
  },
  /** Owner to the new owner of shards: transfers the jobs of these shards. */
  adopt: {
    params: z.object({
      from: z.string(),
      /**
       * Shards for which the sender knows every started task, so that the receiver need not wait
       * for the start records of the agents.
       */
      claims: z.array(claimSchema),
      jobs: z.array(jobStateSchema),
    }),
    result: z.object({ accepted: z.boolean() }),
  },
  /** Entry to entry: asks for idle credits. */
  credits: {
    params: z.object({
      from: z.string(),
      want: z.number().int(),
      /** Waiting tasks per credit at the caller. */
      pressure: z.number(),
    }),
    result: z.object({
      credits: z.array(
        z.object({ agent: z.string(), incarnation: z.string(), credit: creditSchema }),
      ),
    }),
  },
  /**
   * Entry to entry: makes the peer read the store at once and returns the version of the
   * configuration that the peer then has.
   */
  confirm: {
    params: z.object({ version: z.number().int() }),
    result: z.object({ version: z.number().int() }),
  },
  /** Entry to entry: the caller is shutting down and has no write to the store in progress. */
  farewell: { params: sender, result: empty },
  /** Any process to any other: reads a summary for operators. */
  status: {
    params: empty,
    result: z.record(z.string(), z.json()),
  },
} as const;

/** Name of a call. */
export type Method = keyof typeof callSchemas;
/** Parameters of a call. */
export type Params<M extends Method> = z.infer<(typeof callSchemas)[M]['params']>;
/** Result of a call. */
export type Result<M extends Method> = z.infer<(typeof callSchemas)[M]['result']>;

/** Inferred from {@link creditSchema}. */
export type Credit = z.infer<typeof creditSchema>;
/** Inferred from {@link outcomeSchema}. */
export type Outcome = z.infer<typeof outcomeSchema>;
/** Inferred from {@link refusalSchema}. */
export type Refusal = z.infer<typeof refusalSchema>;
/** Inferred from {@link startRecordSchema}. */
export type StartRecord = z.infer<typeof startRecordSchema>;
/** Inferred from {@link jobStateSchema}. */
export type JobState = z.infer<typeof jobStateSchema>;
/** One event of the timeline. */
export type TimelineEvent = z.infer<typeof eventSchema>;
/** Parameters of the `start` call. */
export type StartParams = Params<'start'>;
