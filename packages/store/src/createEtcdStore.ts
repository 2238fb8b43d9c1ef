import { Pool } from 'undici';
import * as z from 'zod';
import { StoreError } from './Store';
import type { Snapshot, Store } from './Store';

/** Timeout of one call to the store, in milliseconds. */
const STORE_TIMEOUT_MS = 800;

/** Delay before a broken watch is reopened, in milliseconds. */
const WATCH_RETRY_MS = 1_000;

const rangeSchema = z.object({
  header: z.object({ revision: z.string() }),
  kvs: z
    .array(z.object({ key: z.string(), value: z.string().default(''), mod_revision: z.string() }))
    .default([]),
});

const txnSchema = z.object({
  header: z.object({ revision: z.string() }),
  succeeded: z.boolean().default(false),
});

const encodeBase64 = (text: string): string => Buffer.from(text).toString('base64');
const decodeBase64 = (text: string): string => Buffer.from(text, 'base64').toString();

/** First key after all keys with the prefix, encoded for the `range_end` field of etcd. */
const rangeEnd = (prefix: string): string => {
  const bytes = Buffer.from(prefix);
  bytes[bytes.length - 1] = (bytes[bytes.length - 1] ?? 0) + 1;
  return bytes.toString('base64');
};

/**
 * Creates a client of a store that is served by the etcd v3 JSON gateway.
 *
 * @param url - origin of the gateway
 * @returns the client
 */
export const createEtcdStore = (url: string): Store => {
  const pool = new Pool(url, { connections: 4, connect: { timeout: STORE_TIMEOUT_MS } });

  const post = async (path: string, body: unknown): Promise<unknown> => {
    try {
      const response = await pool.request({
        path,
        method: 'POST',
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        headersTimeout: STORE_TIMEOUT_MS,
        bodyTimeout: STORE_TIMEOUT_MS,
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        throw StoreError.create(`store answered ${response.statusCode}: ${text.slice(0, 200)}`);
      }
      return JSON.parse(text);
    } catch (error) {
      if (error instanceof StoreError) throw error;
      throw StoreError.create(error instanceof Error ? error.message : String(error));
    }
  };

  const read = async (prefix: string, minRevision = 0): Promise<Snapshot> => {
    const body = {
      key: encodeBase64(prefix),
      range_end: rangeEnd(prefix),
      min_mod_revision: String(minRevision),
    };
    const { header, kvs } = rangeSchema.parse(await post('/v3/kv/range', body));
    const values = kvs.map((kv) => ({
      key: decodeBase64(kv.key),
      value: decodeBase64(kv.value),
      revision: Number(kv.mod_revision),
    }));
    return { revision: Number(header.revision), values };
  };

  const compareAndSwap: Store['compareAndSwap'] = async (key, revision, value) => {
    const operation =
      value === undefined
        ? { request_delete_range: { key: encodeBase64(key) } }
        : { request_put: { key: encodeBase64(key), value: encodeBase64(value) } };
    const body = {
      compare: [
        { key: encodeBase64(key), target: 'MOD', result: 'EQUAL', mod_revision: String(revision) },
      ],
      success: [operation],
    };
    const { header, succeeded } = txnSchema.parse(await post('/v3/kv/txn', body));
    return succeeded ? Number(header.revision) : undefined;
  };

  const watch: Store['watch'] = (prefix, notifyChange) => {
    const abort = new AbortController();
    const watchOnce = async (): Promise<void> => {
      const response = await pool.request({
        path: '/v3/watch',
        method: 'POST',
        body: JSON.stringify({
          create_request: { key: encodeBase64(prefix), range_end: rangeEnd(prefix) },
        }),
        headers: { 'content-type': 'application/json' },
        bodyTimeout: 0,
        signal: abort.signal,
      });
      // eslint-disable-next-line no-restricted-syntax -- a stream is consumed by async iteration
      for await (const chunk of response.body) {
        if (String(chunk).includes('"events"')) notifyChange();
      }
    };
    const keepWatching = (): void => {
      const reopen = () => {
        if (!abort.signal.aborted) setTimeout(keepWatching, WATCH_RETRY_MS).unref();
      };
      watchOnce().then(reopen, reopen);
    };
    keepWatching();
    return () => abort.abort();
  };

  return { read, compareAndSwap, watch };
};
