/* eslint-disable import-x/prefer-default-export -- plain modules of Node.js, without a build */
import { createServer } from 'node:http';

/** Largest number of items in one page. */
const PAGE_SIZE = 500;

const readJson = async (request) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  await new Promise((resolve) => {
    request.once('end', resolve);
    request.once('close', resolve);
  });
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

/** The platform's metadata store: keys with a common revision, watches and transactions. */
export class StoreStandIn {
  items = new Map();

  events = [];

  revision = 1;

  waiting = new Set();

  /** Writes a key, or removes it when `value` is `undefined`. Returns the new revision. */
  put(key, value) {
    this.revision += 1;
    const { revision } = this;
    if (value === undefined) {
      this.items.delete(key);
      this.events.push({ key, revision, tombstone: true });
    } else {
      const created = this.items.get(key)?.created ?? revision;
      const base64 = Buffer.from(value).toString('base64');
      const item = { key, value: base64, revision, created, lease: 0 };
      this.items.set(key, item);
      this.events.push(item);
    }
    [...this.waiting].forEach((wake) => wake());
    return revision;
  }

  /** Listens on an address. */
  async listen(host, port) {
    this.server = createServer((request, response) => {
      this.handle(request).then(
        ({ status, body }) => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(body));
        },
        (error) => {
          response.writeHead(500);
          response.end(String(error));
        },
      );
    });
    this.server.keepAliveTimeout = 0;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async handle(request) {
    const url = new URL(request.url, 'http://store');
    const { searchParams: query } = url;
    if (url.pathname === '/api/kv-range') return this.range(query);
    if (url.pathname === '/api/kv-watch') return this.watch(query);
    if (url.pathname === '/api/kv-txn') return this.transact(await readJson(request));
    return { status: 404, body: {} };
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys.slice(0, PAGE_SIZE).map((key) => this.items.get(key));
    const hasMore = keys.length > PAGE_SIZE;
    return { status: 200, body: { items, has_more: hasMore, store_revision: this.revision } };
  }

  async watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () =>
      this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    if (find().length === 0) await this.waitForChange(Number(query.get('wait_ms') ?? 0));
    return { status: 200, body: { events: find(), store_revision: this.revision } };
  }

  waitForChange(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      setTimeout(wake, waitMs).unref();
      this.waiting.add(wake);
    });
  }

  transact({ precondition = [], puts = [], remove = [] }) {
    const holds = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = precondition.flatMap(({ key }) => this.items.get(key) ?? []);
      return { status: 412, body: { items } };
    }
    puts.forEach(({ key, value }) => this.put(key, Buffer.from(value, 'base64').toString()));
    remove.forEach((key) => this.put(key, undefined));
    return { status: 200, body: { revision: this.revision } };
  }
}
