import { Hono } from 'hono';
import { stream } from 'hono/streaming';
import * as z from 'zod';
import { sleep } from '@marjorammast/protocol';

/** Faults of etcd that can be simulated, and its rate limits. */
export const etcdFaultsSchema = z.strictObject({
  /** Makes all calls fail and ends the open watches. */
  isDown: z.boolean().default(false),
  /** Delay of every call, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Fraction of the writes that take effect but get no successful answer. */
  lostReplies: z.number().min(0).max(1).default(0),
  /** Keeps watches open but reports no changes on them. */
  isWatchSilent: z.boolean().default(false),
  /** Number of reads and open watches per second above which reads fail. */
  maxReadsPerS: z.number().positive().default(2_000),
  /** Number of writes per second above which writes fail. */
  maxWritesPerS: z.number().positive().default(500),
});

/** Inferred from {@link etcdFaultsSchema}. */
export type EtcdFaults = z.infer<typeof etcdFaultsSchema>;

const rangeBodySchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  min_mod_revision: z.coerce.number().default(0),
});

const txnBodySchema = z.object({
  compare: z.array(z.object({ key: z.string(), mod_revision: z.coerce.number() })),
  success: z.array(
    z.object({
      request_put: z.object({ key: z.string(), value: z.string() }).optional(),
      request_delete_range: z.object({ key: z.string() }).optional(),
    }),
  ),
});

const watchBodySchema = z.object({
  create_request: z.object({ key: z.string(), range_end: z.string().optional() }),
});

/** Maximum size of a value, in bytes. */
const MAX_BYTES = 1024 * 1024;

/** Length of the window of the rate limits, in milliseconds. */
const RATE_WINDOW_MS = 1_000;

type StoredValue = { value: string; revision: number };
type CallCounts = { reads: number; writes: number };

/** Decodes a base64 key. Latin-1 gives each byte one character and so keeps the order of keys. */
const decodeKey = (text: string): string => Buffer.from(text, 'base64').toString('latin1');

/** In-memory simulation of etcd, the store of the first design. Nothing is kept on disk. */
export class EtcdStandIn {
  faults: EtcdFaults = etcdFaultsSchema.parse({});

  /** Number of calls since the start. */
  readonly total: CallCounts = { reads: 0, writes: 0 };

  private readonly values = new Map<string, StoredValue>();

  private readonly watchers = new Set<(key: string) => void>();

  private revision = 1;

  /** Number of calls in the current window of the rate limits. */
  private windowCalls: CallCounts = { reads: 0, writes: 0 };

  /** Start of the current window, in milliseconds since the Unix epoch. */
  private windowStart = 0;

  private constructor(private readonly random: () => number) {}

  /**
   * @param random - uniform random numbers in [0, 1), which decide about lost replies
   * @returns an empty store
   */
  static create(random: () => number = Math.random): EtcdStandIn {
    return new EtcdStandIn(random);
  }

  /** Reads a range of keys. As in etcd, `end` is exclusive, and without it one key is read. */
  range(key: string, end: string | undefined, minRevision: number): unknown {
    const kvs = [...this.values]
      .filter(([name]) => (end === undefined ? name === key : name >= key && name < end))
      .filter(([, { revision }]) => revision >= minRevision)
      .map(([name, { value, revision }]) => ({
        key: Buffer.from(name, 'latin1').toString('base64'),
        value,
        mod_revision: String(revision),
      }));
    return { header: { revision: String(this.revision) }, kvs, count: String(kvs.length) };
  }

  /** Executes a transaction: compares revisions and, if all match, puts or deletes keys. */
  transact(body: z.infer<typeof txnBodySchema>): unknown {
    const succeeded = body.compare.every(
      ({ key, mod_revision: expected }) =>
        (this.values.get(decodeKey(key))?.revision ?? 0) === expected,
    );
    if (succeeded) {
      this.revision += 1;
      body.success.forEach(({ request_put: put, request_delete_range: removal }) => {
        if (put) this.values.set(decodeKey(put.key), { value: put.value, revision: this.revision });
        if (removal) this.values.delete(decodeKey(removal.key));
        const changed = decodeKey(put?.key ?? removal?.key ?? '');
        if (!this.faults.isWatchSilent) this.watchers.forEach((notify) => notify(changed));
      });
    }
    return { header: { revision: String(this.revision) }, succeeded };
  }

  /**
   * Counts a call and applies the simulated delay and rate limits. Each open watch counts as a
   * read.
   *
   * @param kind - whether the call reads or writes
   * @returns false when the call must fail
   */
  async admit(kind: keyof CallCounts): Promise<boolean> {
    const now = Date.now();
    if (now - this.windowStart >= RATE_WINDOW_MS) {
      this.windowCalls = { reads: 0, writes: 0 };
      this.windowStart = now;
    }
    this.total[kind] += 1;
    this.windowCalls[kind] += 1;
    const limit = kind === 'reads' ? this.faults.maxReadsPerS : this.faults.maxWritesPerS;
    const openWatches = kind === 'reads' ? this.watchers.size : 0;
    if (this.faults.isDown || this.windowCalls[kind] + openWatches > limit) return false;
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    return !this.faults.isDown;
  }

  /** Decides at random whether the reply to a write is lost. */
  losesReply(): boolean {
    return this.random() < this.faults.lostReplies;
  }

  /** Calls a function with each changed key; returns a function that ends the subscription. */
  subscribe(notify: (key: string) => void): () => void {
    this.watchers.add(notify);
    return () => this.watchers.delete(notify);
  }
}

const UNAVAILABLE = { error: 'etcdserver: unavailable', code: 14 };

/**
 * Creates the HTTP interface of a simulated store: a part of the etcd v3 JSON gateway, and
 * `/faults` to read and set the faults.
 *
 * @param store - the simulated store
 * @returns the routes
 */
export const createEtcdHttp = (store: EtcdStandIn): Hono =>
  new Hono()
    .post('/v3/kv/range', async (context) => {
      if (!(await store.admit('reads'))) return context.json(UNAVAILABLE, 503);
      const body = rangeBodySchema.parse(await context.req.json());
      const end = body.range_end === undefined ? undefined : decodeKey(body.range_end);
      return context.json(store.range(decodeKey(body.key), end, body.min_mod_revision) as object);
    })
    .post('/v3/kv/txn', async (context) => {
      if (!(await store.admit('writes'))) return context.json(UNAVAILABLE, 503);
      const body = txnBodySchema.parse(await context.req.json());
      // Size of the largest value in base64, in which four characters encode three bytes.
      const size = Math.max(0, ...body.success.map((op) => op.request_put?.value.length ?? 0));
      if (size * 0.75 > MAX_BYTES) return context.json({ error: 'request is too large' }, 400);
      const result = store.transact(body) as object;
      return store.losesReply() ? context.json(UNAVAILABLE, 503) : context.json(result);
    })
    .post('/v3/watch', async (context) => {
      if (!(await store.admit('reads'))) return context.json(UNAVAILABLE, 503);
      const { create_request: create } = watchBodySchema.parse(await context.req.json());
      const start = decodeKey(create.key);
      const end = create.range_end === undefined ? undefined : decodeKey(create.range_end);
      return stream(context, async (output) => {
        const unsubscribe = store.subscribe((key) => {
          const isWatched = end === undefined ? key === start : key >= start && key < end;
          if (isWatched) void output.write('{"result":{"events":[{}]}}\n');
        });
        await output.write('{"result":{"created":true}}\n');
        while (!output.aborted && !store.faults.isDown) {
          await sleep(100);
        }
        unsubscribe();
      });
    })
    .get('/faults', (context) => context.json({ ...store.faults, ...store.total }))
    .put('/faults', async (context) => {
      const changed = etcdFaultsSchema.partial().parse(await context.req.json());
      store.faults = etcdFaultsSchema.parse({ ...store.faults, ...changed });
      return context.json(store.faults);
    });
