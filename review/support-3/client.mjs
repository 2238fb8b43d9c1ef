// Stand-ins of clients: they hand in jobs and cancel them, as the platform's protocol page says.
/* eslint import-x/extensions: off, no-await-in-loop: off, import-x/prefer-default-export: off */
import { call } from './http.mjs';

export const HOST = 'nony24.example';
export const PREFIX = '/lohu930/';

/** A configuration with one route. */
export const createConfiguration = (fields = {}) => ({
  version: 7,
  routes: [
    {
      name: 'r-3hwrr6x',
      host: HOST,
      prefix: PREFIX,
      route_type: 'non_idempotent',
      timeout_ms: 1_500,
      target_latency_ms: 60,
      priority: 0,
      backend: 'desk',
      attempts: 2,
      stretch: 1.6,
      ...fields,
    },
  ],
  services: [{ name: 'desk', rejects_overload: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
});

export const createId = () =>
  Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('');

/**
 * Body of a job with one step. `ms` is the run time of its tasks, `fails` the index of a task that always fails, and
 * `padding` the length of further text in the spec.
 */
export const createJob = ({ count, cpu, ms, estimateMs = ms, fails, padding = 0, ...fields }) => ({
  spec: JSON.stringify({ ms, cpu, fails, text: 'x'.repeat(padding) }),
  steps: [{ count, cpu, mem_mb: 10, est_runtime_ms: estimateMs, ...fields }],
  best_effort: true,
});

/** Counts answers by their status; 0 stands for none. */
export const countStatuses = (answers) =>
  answers.reduce((counts, { status }) => ({ ...counts, [status]: (counts[status] ?? 0) + 1 }), {});

/** Sends one request of a client and notes it. The status is 0 when the connection ends without a response. */
export const send = async (record, address, method, id, { body, deadlineMs, signal } = {}) => {
  record.note(`client: ${method} of ${id} to ${address}`);
  const headers = {
    host: HOST,
    ...(deadlineMs === undefined ? {} : { 'x-marjorammast-deadline-ms': deadlineMs }),
  };
  try {
    const answer = await call(address, method, `${PREFIX}${id}`, { body, headers, signal });
    record.note(`client: ${answer.status} to ${method} of ${id} ${JSON.stringify(answer.body)}`);
    return answer;
  } catch (error) {
    record.note(`client: no answer to ${method} of ${id}: ${error.code ?? error.message}`);
    return { status: 0 };
  }
};
