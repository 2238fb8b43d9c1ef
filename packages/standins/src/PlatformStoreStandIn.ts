import { Hono } from 'hono';
import type { Context } from 'hono';
import * as z from 'zod';
import { sleep } from '@marjorammast/protocol';
import { Waiters, neverResolve } from './Waiters';

type StoredItem = { key: string; value: string; revision: number; created: number; lease: number };

type ChangeEvent = StoredItem | { key: string; revision: number; tombstone: true };

const transactionSchema = z.object({
  precondition: z.array(z.object({ key: z.string(), revision: z.number() })).default([]),
  puts: z.array(z.object({ key: z.string(), value: z.string() })).default([]),
  remove: z.array(z.string()).default([]),
});

/** Maximum number of items in one answer to a read. */
const PAGE_SIZE = 500;

/**
 * Simulated fault of the store. `none`: no fault. `refuse`: answers all calls with status 503.
 * `silent`: ignores all calls. `answerLost`: executes calls without answering. `slow`: delays each
 * call by half a second.
 */
export type StoreFault = 'none' | 'refuse' | 'silent' | 'answerLost' | 'slow';

/** Delay of each call under the fault `slow`, in milliseconds. */
const SLOW_MS = 500;

/** In-memory simulation of the store of the dispatch design, with the platform's HTTP protocol. */
export class PlatformStoreStandIn {
  private readonly items = new Map<string, StoredItem>();

  private events: ChangeEvent[] = [];

  private revision = 1;

  /** Oldest revision whose events are still available. */
  private oldestRevision = 1;

  private readonly changeWaiters = Waiters.create();

  /** Fault that the store simulates at present. */
  fault: StoreFault = 'none';

  private constructor() {}

  /** @returns an empty store */
  static create(): PlatformStoreStandIn {
    return new PlatformStoreStandIn();
  }

  /**
   * Writes a key, as an operator does.
   *
   * @param key - the key
   * @param value - new value; `undefined` deletes the key
   */
  put(key: string, value: string | undefined): void {
    this.revision += 1;
    const { revision } = this;
    if (value === undefined) {
      this.items.delete(key);
      this.events.push({ key, revision, tombstone: true });
    } else {
      const created = this.items.get(key)?.created ?? revision;
      const item = {
        key,
        value: Buffer.from(value).toString('base64'),
        revision,
        created,
        lease: 0,
      };
      this.items.set(key, item);
      this.events.push(item);
    }
    this.changeWaiters.wakeAll();
  }

  /** Discards the history of changes and ends the pending watches. */
  compact(): void {
    this.events = [];
    this.oldestRevision = this.revision;
    this.changeWaiters.wakeAll();
  }

  /** Creates the HTTP interface. */
  routes(): Hono {
    const app = new Hono();
    app.use(async (context, next) => {
      const { fault } = this;
      if (fault === 'silent') await neverResolve();
      if (fault === 'slow') await sleep(SLOW_MS);
      if (fault === 'refuse') return context.json({}, 503);
      await next();
      if (fault === 'answerLost') await neverResolve();
      return undefined;
    });
    app.get('/api/kv-range', (context) => this.range(context));
    app.get('/api/kv-watch', (context) => this.watch(context));
    app.post('/api/kv-txn', async (context) => this.transact(context, await context.req.json()));
    return app;
  }

  private range(context: Context): Response {
    const { prefix = '', after = '' } = context.req.query();
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys.slice(0, PAGE_SIZE).map((key) => this.items.get(key));
    const body = { items, has_more: keys.length > PAGE_SIZE, store_revision: this.revision };
    return context.json(body);
  }

  private async watch(context: Context): Promise<Response> {
    const { prefix = '' } = context.req.query();
    const after = Number(context.req.query('after'));
    const waitMs = Number(context.req.query('wait_ms') ?? 0);
    const findEvents = () =>
      this.events.filter((event) => event.revision > after && event.key.startsWith(prefix));
    if (after < this.oldestRevision - 1) return context.json({}, 410);
    if (findEvents().length === 0) await this.changeWaiters.wait(waitMs);
    if (after < this.oldestRevision - 1) return context.json({}, 410);
    return context.json({ events: findEvents(), store_revision: this.revision });
  }

  private transact(context: Context, body: unknown): Response {
    const { precondition, puts, remove } = transactionSchema.parse(body);
    const holds = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      return context.json(
        { items: precondition.flatMap(({ key }) => this.items.get(key) ?? []) },
        412,
      );
    }
    puts.forEach(({ key, value }) => this.put(key, Buffer.from(value, 'base64').toString()));
    remove.forEach((key) => this.put(key, undefined));
    return context.json({ revision: this.revision });
  }
}
