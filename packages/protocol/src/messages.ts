import { z } from 'zod';
import { clusterMapSchema } from './clusterMap';
import { dispatchCallSchemas } from './dispatchMessages';
import { releaseSchema, sliceSchema } from './environment';
import { answerSchema, submissionSchema } from './job';

/** Right to start one task in one slot of an agent's target; used once. */
export const creditSchema = z.object({ slot: z.number().int(), generation: z.number().int() });

/** End of one task at its target. */
export const outcomeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('done'), result: z.json() }),
  z.object({ type: z.literal('error'), detail: z.string() }),
  /** The connection to the target broke, or the task was cancelled while it ran. */
  z.object({ type: z.literal('unknown'), detail: z.string() }),
]);

/** Why an agent refused one transmission of a start. */
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

/** What an agent knows of one started task. */
export const startRecordSchema = z.object({
  job: z.string(),
  index: z.number().int(),
  /** Number of tasks in the job. */
  count: z.number().int(),
  digest: z.string(),
  notAfter: z.number(),
  /** Absent while the task runs. */
  outcome: outcomeSchema.optional(),
});

const claimSchema = z.object({ shard: z.number().int(), epoch: z.number().int() });

const eventSchema = z.object({
  /** Hybrid logical time: milliseconds and a counter. */
  time: z.tuple([z.number(), z.number()]),
  node: z.string(),
  type: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

const taskStateSchema = z.object({
  index: z.number().int(),
  /** Agent that was sent the start, if any was. */
  agent: z.string().optional(),
  incarnation: z.string().optional(),
  outcome: outcomeSchema.optional(),
});

/** State of one job as it is handed to another entry. */
export const jobStateSchema = z.object({
  id: z.string(),
  digest: z.string(),
  notAfter: z.number(),
  /** Absent for a job that is known only from started-records. */
  submission: submissionSchema.optional(),
  deadlineLeftMs: z.number(),
  tasks: z.array(taskStateSchema),
  answer: answerSchema.optional(),
});

const named = z.object({ from: z.string() });
const nothing = z.object({});

/** What one entry knows of configuration, map, store and other entries. */
export type News = {
  version: number;
  mapRevision: number;
  /** Age of the newest read of the store, in milliseconds. */
  storeAgeMs: number;
  /** True while a write may or may not have taken effect. */
  unsettled: boolean;
  unreachable: string[];
};

/** News as they are sent: each pair of entries exchanges them every second, so names are left out. */
const wireNewsSchema = z
  .tuple([z.number().int(), z.number().int(), z.number(), z.literal([0, 1])])
  .rest(z.string());

/**
 * Encodes news.
 *
 * @param news - the news
 * @returns version, map revision, age of the store's news, unsettled, unreachable members
 */
export const encodeNews = (news: News): z.infer<typeof wireNewsSchema> => [
  news.version,
  news.mapRevision,
  Math.ceil(news.storeAgeMs),
  news.unsettled ? 1 : 0,
  ...news.unreachable,
];

/**
 * Decodes news.
 *
 * @param wire - news as sent
 * @returns the news
 */
export const decodeNews = ([version, mapRevision, storeAgeMs, unsettled, ...unreachable]: z.infer<
  typeof wireNewsSchema
>): News => ({
  version,
  mapRevision,
  storeAgeMs,
  unsettled: unsettled === 1,
  unreachable,
});

/** Parameters and result of every call between two processes. */
export const callSchemas = {
  ...dispatchCallSchemas,
  /** Agent to entry, first call on a connection. */
  hello: {
    params: z.object({
      agent: z.string(),
      incarnation: z.string(),
      dataCenter: z.string(),
      slots: z.number().int(),
      clock: z.number(),
    }),
    result: z.object({
      entry: z.string(),
      /** False while the store cannot record the agent; no start may be sent yet. */
      registered: z.boolean(),
      epochs: z.array(z.number().int()),
      entries: z.array(z.string()),
      slice: sliceSchema,
    }),
  },
  /** Agent to entry: slots that the entry may use. */
  grant: {
    params: z.object({ credits: z.array(creditSchema), clock: z.number() }),
    result: nothing,
  },
  /** Agent to entry: the target left, or slots are taken back. */
  revoke: { params: z.object({ slots: z.array(z.number().int()) }), result: nothing },
  /** Agent to entry: which of these idle slots does the entry still hold? */
  audit: {
    params: z.object({ credits: z.array(creditSchema) }),
    result: z.object({ held: z.array(z.number().int()) }),
  },
  /** Entry to agent: starts one task and answers at its end. */
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
      /** Time left for the task, in milliseconds. */
      deadlineMs: z.number(),
      version: z.number().int(),
      /** Age of the entry's news when it sent the start, in milliseconds. */
      newsAgeMs: z.number(),
      /** Newest reading of the agent's clock that the entry has received. */
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
        /** The slot's next credit, when the entry may keep the slot. */
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
  /** Entry to agent: refuse lower epochs from now on, and tell what was started. */
  fence: {
    params: z.object({ claims: z.array(claimSchema) }),
    result: z.object({ incarnation: z.string(), records: z.array(startRecordSchema) }),
  },
  /** Agent to entry: the agent stops for good and leaves its records. */
  retire: { params: z.object({ records: z.array(startRecordSchema) }), result: nothing },
  /** Entry to agent: waits for a task's end; an unknown task is barred from starting. */
  outcome: {
    params: z.object({ job: z.string(), index: z.number().int(), notAfter: z.number() }),
    result: z.discriminatedUnion('type', [
      z.object({ type: z.literal('finished'), outcome: outcomeSchema }),
      z.object({ type: z.literal('barred') }),
    ]),
  },
  /** Entry to agent: the task's result is no longer wanted. */
  cancel: { params: z.object({ job: z.string(), index: z.number().int() }), result: nothing },
  /** Entry to agent: the configuration in force. */
  configure: {
    params: z.object({ slice: sliceSchema, entries: z.array(z.string()) }),
    result: z.object({ version: z.number().int() }),
  },
  /** Any to any: recent events. */
  events: {
    params: z.object({ sinceMs: z.number(), job: z.string().optional() }),
    result: z.object({ events: z.array(eventSchema) }),
  },
  /** Entry to entry: what the peer knows of configuration, map, store and other peers. */
  news: {
    params: nothing,
    result: wireNewsSchema,
  },
  /** Entry to entry, first call on a connection: which process answers? */
  identify: { params: nothing, result: z.object({ incarnation: z.string() }) },
  /** Entry to entry: what a peer behind on news asks for. */
  catchUp: {
    params: named,
    result: z.object({
      release: releaseSchema.optional(),
      map: clusterMapSchema,
      mapRevision: z.number().int(),
    }),
  },
  /** Gateway to owner: run or join a job; answers when the job is answered. */
  submit: {
    params: z.object({
      submission: submissionSchema,
      deadlineLeftMs: z.number(),
      /** True when the key was certainly never sent to any owner before. */
      isFirst: z.boolean(),
    }),
    result: z.discriminatedUnion('type', [
      z.object({ type: z.literal('answer'), answer: answerSchema }),
      z.object({ type: z.literal('notOwner'), mapRevision: z.number().int() }),
    ]),
  },
  /** Gateway to owner: state of a job by its identifier. */
  find: {
    params: z.object({ id: z.string() }),
    result: z.discriminatedUnion('type', [
      z.object({ type: z.literal('answer'), answer: answerSchema }),
      z.object({ type: z.literal('running'), done: z.number(), count: z.number() }),
      z.object({ type: z.literal('unknown') }),
      z.object({ type: z.literal('notOwner'), mapRevision: z.number().int() }),
    ]),
  },
  /** Gateway to owner: cancel a job. */
  cancelJob: {
    params: z.object({ id: z.string() }),
    result: z.object({ found: z.boolean(), owner: z.boolean() }),
  },
  /** Owner to its successor: the jobs of shards that were given away. */
  adopt: {
    params: z.object({
      from: z.string(),
      claims: z.array(claimSchema),
      jobs: z.array(jobStateSchema),
    }),
    result: z.object({ accepted: z.boolean() }),
  },
  /** Entry to entry: ask for credits that lie idle. */
  credits: {
    params: z.object({
      from: z.string(),
      want: z.number().int(),
      /** Tasks waiting at the caller for each credit it holds. */
      pressure: z.number(),
    }),
    result: z.object({
      credits: z.array(
        z.object({ agent: z.string(), incarnation: z.string(), credit: creditSchema }),
      ),
    }),
  },
  /** Entry to entry: read the store now and tell the version in force. */
  confirm: {
    params: z.object({ version: z.number().int() }),
    result: z.object({ version: z.number().int() }),
  },
  /** Entry to entry: the caller stops for good and has no write in progress. */
  farewell: { params: named, result: nothing },
  /** Any to any: a summary for operators. */
  status: {
    params: nothing,
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
/** One event of the time line. */
export type TimelineEvent = z.infer<typeof eventSchema>;
/** Parameters of a start. */
export type Start = Params<'start'>;
