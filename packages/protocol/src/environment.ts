import { z } from 'zod';

const team = z.strictObject({
  /** Tasks of the team that may run at one time over the whole system. */
  maxRunning: z.number().int().positive().max(100_000),
  /** Share of the capacity when all teams wait, relative to the other teams. */
  weight: z.number().positive().max(1_000).default(1),
});

const dataCenter = z.strictObject({
  region: z.string().min(1),
  state: z.enum(['in', 'out']).default('in'),
});

const policy = z.strictObject({
  /** Jobs waiting or running in one entry before new ones are refused. */
  maxJobs: z.number().int().positive().default(20_000),
  /** Tasks waiting in one entry before new jobs are refused. */
  maxQueuedTasks: z.number().int().positive().default(100_000),
  /** Every n-th start goes to work that is not urgent, so that it is not starved. */
  normalShare: z.number().int().min(2).default(8),
  /** Weight of the newest run time in the learned one, between 0 and 1. */
  learningRate: z.number().positive().max(1).default(0.1),
  /** Failures in a row after which an agent is ejected. */
  ejectAfterFailures: z.number().int().positive().default(8),
  /** Time an ejected agent stays out, in milliseconds. */
  ejectionMs: z.number().int().positive().default(5_000),
  /** Largest share of the agents ejected at one time. */
  maxEjectedShare: z.number().min(0).max(0.9).default(0.3),
});

/** The operators' document for one environment. */
export const environmentSchema = z.strictObject({
  name: z.string().min(1).max(60),
  teams: z.record(z.string(), team),
  /** Kinds of work that may be submitted; `service.method` for single requests. */
  kinds: z.record(z.string(), z.strictObject({ idempotent: z.boolean().default(false) })),
  dataCenters: z.record(z.string(), dataCenter),
  /** Targets that are to get no new work. */
  draining: z.array(z.string()).default([]),
  policy: policy.prefault({}),
});

/** Inferred from {@link environmentSchema}. */
export type Environment = z.infer<typeof environmentSchema>;
/** Settings of the placement and admission policy. */
export type Policy = Environment['policy'];

/** An environment with its version, as the store holds it. */
export const releaseSchema = z.object({
  version: z.number().int().nonnegative(),
  author: z.string(),
  at: z.number(),
  environment: environmentSchema,
});

/** Inferred from {@link releaseSchema}. */
export type Release = z.infer<typeof releaseSchema>;

/** The part of a release that an agent needs. */
export const sliceSchema = z.object({
  version: z.number().int().nonnegative(),
  outDataCenters: z.array(z.string()),
  draining: z.array(z.string()),
});

/** Inferred from {@link sliceSchema}. */
export type Slice = z.infer<typeof sliceSchema>;

/**
 * Cuts a release down to what an agent needs.
 *
 * @param release - whole release
 * @returns the agents' slice of it
 */
export const sliceOf = (release: Release): Slice => ({
  version: release.version,
  outDataCenters: Object.entries(release.environment.dataCenters)
    .filter(([, center]) => center.state === 'out')
    .map(([key]) => key),
  draining: release.environment.draining,
});
