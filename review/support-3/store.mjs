// Stand-in of the platform's key-value store: reads, watches and conditional writes.
/* eslint import-x/extensions: off, no-await-in-loop: off, import-x/prefer-default-export: off */
import { readJson, sendJson, startServer } from './http.mjs';

const PAGE_ITEMS = 500;

export class Store {
  constructor(record) {
    this.record = record;
    this.items = new Map();
    this.events = [];
    this.revision = 1;
    this.waiting = new Set();
  }

  async start(address) {
    this.server = await startServer(address, (request, response) => this.handle(request, response));
  }

  /** Writes a key as the operator does; without a value the key is removed. */
  put(key, value) {
    this.revision += 1;
    const { revision } = this;
    if (value === undefined) {
      this.items.delete(key);
      this.events.push({ key, revision, tombstone: true });
    } else {
      const created = this.items.get(key)?.created ?? revision;
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      const item = {
        key,
        value: Buffer.from(text).toString('base64'),
        revision,
        created,
        lease: 0,
      };
      this.items.set(key, item);
      this.events.push(item);
    }
    [...this.waiting].forEach((wake) => wake());
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = Object.fromEntries(url.searchParams);
    if (url.pathname === '/api/kv-range') this.range(query, response);
    else if (url.pathname === '/api/kv-watch') await this.watch(query, response);
    else if (url.pathname === '/api/kv-key') this.read(query, response);
    else if (url.pathname === '/api/kv-txn') this.transact(await readJson(request), response);
    else sendJson(response, 404, {});
  }

  read({ key }, response) {
    const item = this.items.get(key);
    if (item) sendJson(response, 200, { ...item, store_revision: this.revision });
    else sendJson(response, 404, { store_revision: this.revision });
  }

  range({ prefix = '', after = '' }, response) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    keys.sort();
    sendJson(response, 200, {
      items: keys.slice(0, PAGE_ITEMS).map((key) => this.items.get(key)),
      has_more: keys.length > PAGE_ITEMS,
      store_revision: this.revision,
    });
  }

  async watch({ prefix = '', after, wait_ms: waitMs = 0 }, response) {
    const find = () =>
      this.events.filter(({ key, revision }) => revision > Number(after) && key.startsWith(prefix));
    const end = performance.now() + Number(waitMs);
    while (find().length === 0 && performance.now() < end && !response.destroyed) {
      await new Promise((resolve) => {
        let timer;
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        timer = setTimeout(wake, end - performance.now());
        this.waiting.add(wake);
      });
    }
    sendJson(response, 200, { events: find(), store_revision: this.revision });
  }

  transact({ precondition = [], puts = [], remove = [] }, response) {
    const fits = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!fits) {
      const items = precondition.flatMap(({ key }) => this.items.get(key) ?? []);
      sendJson(response, 412, { items, store_revision: this.revision });
      return;
    }
    puts.forEach(({ key, value }) => this.put(key, Buffer.from(value, 'base64').toString()));
    remove.forEach((key) => this.put(key, undefined));
    sendJson(response, 200, { revision: this.revision });
  }
}
