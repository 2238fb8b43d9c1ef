import type { Route } from '@marjorammast/protocol';
import { ActiveJob } from '../src/ActiveJob';

/** The route that the tests use. */
export const testRoute: Route = {
  name: 'claims',
  host: 'h.example',
  prefix: '/claims/',
  service: 'desk',
  timeoutMs: 9_000,
  targetLatencyMs: 60,
  stretch: 1.6,
  priority: 0,
  attempts: 2,
  needsAdvice: false,
};

/**
 * Creates a job of one step on that route.
 *
 * @param count - number of its tasks
 * @param estimateMs - estimated run time of each task, in milliseconds
 * @returns the job, all of whose tasks are waiting
 */
export const createTestJob = (count: number, estimateMs: number): ActiveJob => {
  const needs = { cpu: 1_000, memoryMb: 10, accelerators: 0 };
  const step = { count, needs, estimateMs, after: [], maxPerWorker: 0, traits: [] };
  const request = { id: 'a', spec: '', steps: [step], isBestEffort: true, repeatCount: 0 };
  return ActiveJob.create(request, testRoute, step, 9_000);
};
