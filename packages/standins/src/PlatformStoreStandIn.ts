import { Hono } from 'hono';
import type { Context } from 'hono';
import { z } from 'zod';
import { sleep } from '@marjorammast/protocol';
import { Waiters, forever } from './Waiters';

type Item = { key: string; value: string; revision: number; created: number; lease: number };

type Event = Item | { key: string; revision: number; tombstone: true };

const transactionSchema = z.object({
  precondition: z.array(z.object({ key: z.string(), revision: z.number() })).default([]),
  puts: z.array(z.object({ key: z.string(), value: z.string() })).default([]),
  remove: z.array(z.string()).default([]),
});

const PAGE_SIZE = 500;

/**
 * How the stand-in treats calls: `refuse` answers 503, `silent` not at all; `answerLost` carries
 * them out without an answer; `slow` takes half a second.
 */
export type StoreMood = 'well' | 'refuse' | 'silent' | 'answerLost' | 'slow';

const SLOW_MS = 500;

/** Stand-in of the platform's store, over its HTTP protocol. */
export class PlatformStoreStandIn {
  private readonly items = new Map<string, Item>();

  private events: Event[] = [];

  private revision = 1;

  /** Oldest revision whose events are kept. */
  private oldest = 1;

  private readonly waiting = Waiters.create();

  mood: StoreMood = 'well';

  private constructor() {}

  /** @returns an empty store */
  static create(): PlatformStoreStandIn {
    return new PlatformStoreStandIn();
  }

  /**
   * Writes a key, as an operator does.
   *
   * @param key - the key
   * @param value - its new text; `undefined` removes it
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
    this.waiting.wakeAll();
  }

  /** Forgets the history and cuts the watches. */
  compact(): void {
    this.events = [];
    this.oldest = this.revision;
    this.waiting.wakeAll();
  }

  /** The HTTP interface. */
  routes(): Hono {
    const app = new Hono();
    app.use(async (context, next) => {
      const { mood } = this;
      if (mood === 'silent') await forever();
      if (mood === 'slow') await sleep(SLOW_MS);
      if (mood === 'refuse') return context.json({}, 503);
      await next();
      if (mood === 'answerLost') await forever();
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
    const find = () => this.events.filter((e) => e.revision > after && e.key.startsWith(prefix));
    if (after < this.oldest - 1) return context.json({}, 410);
    if (find().length === 0) await this.waiting.wait(waitMs);
    if (after < this.oldest - 1) return context.json({}, 410);
    return context.json({ events: find(), store_revision: this.revision });
  }

  private transact(context: Context, body: unknown): Response {
    const { precondition, puts, remove } = transactionSchema.parse(body);
    const isMet = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
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
