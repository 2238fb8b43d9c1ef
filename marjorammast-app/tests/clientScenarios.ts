import { ROUTE_HOST } from '../src/local/DispatchDeployment';
import type { Script } from './ClientGroup';

/** A request that a port expects, of which the untrusted clients send variants. */
export type Target = { method: string; path: string };

/** Number of untrusted clients and what each of them sends. */
export type ClientScenario = {
  connections: number;
  createScript: (target: Target, job: string) => Script;
};

/** Length of each large chunk, below the 262,144 bytes that a body may have. */
const CHUNK_BYTES = 63_000;

/** Number of large chunks in an incomplete body of twice the limit. */
const OVERSIZED_CHUNKS = 8;

/** Number of large chunks sent for a body whose Content-Length covers one, 32 times the limit. */
const EXCESS_CHUNKS = 134;

/** Number of large chunks in an incomplete body within the limit. */
const INCOMPLETE_CHUNKS = 3;

/** Number of chunks of one byte in an incomplete body within the limit. */
const ONE_BYTE_CHUNKS = 65_000;

/** Value of the Content-Length header of a body that is not sent whole, in bytes. */
const CONTENT_LENGTH_BYTES = 1_073_741_824;

/** Length of an incomplete head, within the limit of 16,384 bytes. */
const HEAD_BYTES = 15_000;

/** Length of a header line that is far over the limit. */
const LONG_LINE_BYTES = 1_048_576;

/** Size of the requests that one client sends without reading a response. */
const PIPELINED_BYTES = 1_048_576;

/** Size of the padding that takes a valid job over the limit. */
const PADDING_BYTES = 8_388_608;

/** Start of a valid body. */
const BODY_START = '{"spec":"';

const toChunk = (data: Buffer): Buffer =>
  Buffer.concat([Buffer.from(`${data.length.toString(16)}\r\n`), data, Buffer.from('\r\n')]);

/** Three bytes and one UTF-16 unit each, so that decoded text takes two bytes for each character. */
const LARGE_DATA = Buffer.from('中'.repeat(CHUNK_BYTES / 3));

const LARGE_CHUNK = toChunk(LARGE_DATA);

const ONE_BYTE_CHUNK_BODY = Buffer.from('1\r\nx\r\n'.repeat(ONE_BYTE_CHUNKS));

const SHORT_HEADER_LINES = Buffer.from('abc:def\r\n'.repeat(Math.floor(HEAD_BYTES / 9)));

const LONG_LINE = Buffer.from(`x-filler: ${'a'.repeat(LONG_LINE_BYTES)}`);

const VALID_JOB = JSON.stringify({
  spec: JSON.stringify({ runMs: 20, cpu: 100 }),
  steps: [{ count: 1, cpu: 100, mem_mb: 10, est_runtime_ms: 20 }],
  best_effort: true,
});

const PADDED_JOB = Buffer.concat([Buffer.from(VALID_JOB), Buffer.alloc(PADDING_BYTES, ' ')]);

const createHead = ({ method, path }: Target, headers = ''): Buffer =>
  Buffer.from(`${method} ${path} HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\n${headers}`);

const createBodyHead = (target: Target, length: string): Buffer =>
  createHead(target, `Content-Type: application/json\r\n${length}\r\n\r\n`);

const createChunkedHead = (target: Target): Buffer =>
  Buffer.concat([
    createBodyHead(target, 'Transfer-Encoding: chunked'),
    toChunk(Buffer.from(BODY_START)),
  ]);

const withJob = (target: Target, job: string): Target => ({
  ...target,
  path: target.path.replace(':job', job),
});

const createReadingScript =
  (createParts: (target: Target) => Buffer[], isComplete = false) =>
  (target: Target, job: string): Script => ({
    parts: createParts(withJob(target, job)),
    isReading: true,
    job,
    isComplete,
  });

const repeat = (part: Buffer, count: number): Buffer[] => Array<Buffer>(count).fill(part);

/** Bodies with a Content-Length of 1 GiB, of which twice the limit is sent. */
export const oversizedContentLengths: ClientScenario = {
  connections: 600,
  createScript: createReadingScript((target) => [
    createBodyHead(target, `Content-Length: ${CONTENT_LENGTH_BYTES}`),
    Buffer.from(BODY_START),
    ...repeat(LARGE_DATA, OVERSIZED_CHUNKS),
  ]),
};

/** Incomplete chunked bodies of twice the limit. */
export const oversizedChunkedBodies: ClientScenario = {
  connections: 600,
  createScript: createReadingScript((target) => [
    createChunkedHead(target),
    ...repeat(LARGE_CHUNK, OVERSIZED_CHUNKS),
  ]),
};

/** Bodies of 8 MB that continue past their Content-Length. */
export const bodiesPastContentLength: ClientScenario = {
  connections: 40,
  createScript: createReadingScript((target) => [
    createBodyHead(target, `Content-Length: ${CHUNK_BYTES}`),
    ...repeat(LARGE_DATA, EXCESS_CHUNKS),
  ]),
};

/** Valid jobs with bodies of 8 MB, sent as a whole. */
export const oversizedJobs: ClientScenario = {
  connections: 30,
  createScript: createReadingScript(
    (target) => [createBodyHead(target, `Content-Length: ${PADDED_JOB.length}`), PADDED_JOB],
    true,
  ),
};

/** Incomplete chunked bodies within the limit, in large chunks. */
export const incompleteBodies: ClientScenario = {
  connections: 1_000,
  createScript: createReadingScript((target) => [
    createChunkedHead(target),
    ...repeat(LARGE_CHUNK, INCOMPLETE_CHUNKS),
  ]),
};

/** Incomplete chunked bodies within the limit, in chunks of one byte. */
export const oneByteChunks: ClientScenario = {
  connections: 40,
  createScript: createReadingScript((target) => [createChunkedHead(target), ONE_BYTE_CHUNK_BODY]),
};

/** Incomplete heads within the limit, of short lines. */
export const incompleteHeads: ClientScenario = {
  connections: 1_500,
  createScript: createReadingScript((target) => [createHead(target), SHORT_HEADER_LINES]),
};

/** Header lines far over the limit. */
export const oversizedHeaderLines: ClientScenario = {
  connections: 200,
  createScript: createReadingScript((target) => [createHead(target), LONG_LINE]),
};

/** Pipelined requests of clients that do not read the responses. */
export const unreadResponses: ClientScenario = {
  connections: 12,
  createScript: ({ path }) => {
    const request = createHead({ method: 'GET', path: path.replace(':job', '') }, '\r\n');
    const count = Math.floor(PIPELINED_BYTES / request.length);
    return { parts: [Buffer.concat(repeat(request, count))], isReading: false };
  },
};

/** Length of an incomplete line, within the 4 MiB that a line of the RPC may have. */
const LINE_BYTES = 4_000_000;

/** Length of the identifier of a call, which its response repeats. */
const CALL_ID_BYTES = 500_000;

const CALL_COUNT = 16;

const INCOMPLETE_LINE = Buffer.concat([
  Buffer.from('{"jsonrpc":"2.0","method":"'),
  Buffer.alloc(LINE_BYTES, 'x'),
]);

const LONG_CALL = Buffer.from(
  `${JSON.stringify({ jsonrpc: '2.0', id: 'x'.repeat(CALL_ID_BYTES), method: 'none' })}\n`,
);

/** Incomplete lines of almost 4 MiB. */
export const incompleteLines: ClientScenario = {
  connections: 60,
  createScript: () => ({ parts: [INCOMPLETE_LINE], isReading: true }),
};

/** Calls with long responses that the clients do not read. */
export const unreadCalls: ClientScenario = {
  connections: 40,
  createScript: () => ({ parts: repeat(LONG_CALL, CALL_COUNT), isReading: false }),
};

/** Length of the start of a request or line, less than its first line. */
const START_BYTES = 12;

/** Connections that send the start of a request and nothing else. */
export const createIdleScenario = (connections: number): ClientScenario => ({
  connections,
  createScript: createReadingScript((target) => [createHead(target).subarray(0, START_BYTES)]),
});
