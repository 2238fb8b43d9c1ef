/* eslint-disable import-x/extensions, import-x/prefer-default-export */
import { listenJson } from './json.mjs';

const PAGE_SIZE = 500;
const HISTORY = 10_000;

/** Small stand-in of the platform's metadata store: items, ranges, watches and transactions. */
export class Store {
  constructor() {
    this.items = new Map();
    this.events = [];
    this.revision = 10;
    this.watchers = new Set();
    this.servers = [];
  }

  async listen(host, port) {
    this.servers.push(await listenJson(host, port, (request) => this.handle(request)));
  }

  /** Listens at one more address, at which the store can be told to refuse all calls. */
  async listenSeparately(host, port) {
    const gate = { isRefusing: false };
    const server = await listenJson(host, port, (request) =>
      gate.isRefusing ? { status: 503, body: {} } : this.handle(request),
    );
    this.servers.push(server);
    gate.refuse = () => {
      gate.isRefusing = true;
      server.closeAllConnections();
    };
    gate.serve = () => {
      gate.isRefusing = false;
    };
    return gate;
  }

  /** Writes a value as the operator does. */
  put(key, value) {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({ key, revision: this.revision, tombstone: true });
  }

  write(key, value) {
    this.revision += 1;
    const { revision } = this;
    const created = this.items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease: 0 };
    this.items.set(key, item);
    this.publish(item);
  }

  publish(event) {
    this.events = [...this.events, event].slice(-HISTORY);
    [...this.watchers].forEach((wake) => wake());
  }

  async handle({ method, url, body }) {
    const { pathname, searchParams } = url;
    if (method === 'GET' && pathname === '/api/kv-key') return this.read(searchParams);
    if (method === 'GET' && pathname === '/api/kv-range') return this.range(searchParams);
    if (method === 'GET' && pathname === '/api/kv-watch') return this.watch(searchParams);
    if (method === 'POST' && pathname === '/api/kv-txn') return this.transact(body);
    return { status: 404, body: {} };
  }

  read(query) {
    const item = this.items.get(query.get('key'));
    const status = item ? 200 : 404;
    return { status, body: { ...item, store_revision: this.revision } };
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const page = keys.sort().slice(0, PAGE_SIZE);
    const items = page.map((key) => this.items.get(key));
    const hasMore = keys.length > PAGE_SIZE;
    return { status: 200, body: { items, has_more: hasMore, store_revision: this.revision } };
  }

  async watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const newer = () =>
      this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0);
    while (newer().length === 0 && performance.now() < endsAt) {
      // eslint-disable-next-line no-await-in-loop
      await this.nextChange(endsAt - performance.now());
    }
    return { status: 200, body: { events: newer(), store_revision: this.revision } };
  }

  nextChange(ms) {
    return new Promise((resolve) => {
      let timer;
      const wake = () => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, Math.max(1, ms));
      this.watchers.add(wake);
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
    puts.forEach(({ key, value }) => this.write(key, value));
    remove.forEach((key) => this.remove(key));
    return { status: 200, body: { revision: this.revision } };
  }

  close() {
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }
}
