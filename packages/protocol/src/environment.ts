import * as z from 'zod';

const team = z.strictObject({
  /** Limit on concurrent tasks of the team in the whole system. */
  maxRunning: z.number().int().positive().max(100_000),
  /** Weight of the team in fair queueing while several teams wait for capacity. */
  weight: z.number().positive().max(1_000).default(1),
});

const dataCenter = z.strictObject({
  region: z.string().min(1),
  /** `out` while the data centre is taken out: no task starts there. */
  state: z.enum(['in', 'out']).default('in'),
});

const policy = z.strictObject({
  /** Limit on waiting and running jobs per entry; jobs beyond it are refused. */
  maxJobs: z.number().int().positive().default(20_000),
  /** Limit on waiting tasks per entry; jobs beyond it are refused. */
  maxQueuedTasks: z.number().int().positive().default(100_000),
  /** Every n-th start prefers jobs that are not urgent, so that they do not starve. */
  normalShare: z.number().int().min(2).default(8),
  /** Weight of the latest run time in the moving average, between 0 and 1. */
  learningRate: z.number().positive().max(1).default(0.1),
  /** Consecutive failures after which an agent is ejected. */
  ejectAfterFailures: z.number().int().positive().default(8),
  /** Duration of an ejection, in milliseconds. */
  ejectionMs: z.number().int().positive().default(5_000),
  /** Largest fraction of the agents that may be ejected at one time. */
  maxEjectedShare: z.number().min(0).max(0.9).default(0.3),
});

/** Configuration document of one environment, written by the operators. */
export const environmentSchema = z.strictObject({
  name: z.string().min(1).max(60),
  teams: z.record(z.string(), team),
  /** Kinds of tasks that may be submitted; `service.method` for single requests. */
  kinds: z.record(z.string(), z.strictObject({ idempotent: z.boolean().default(false) })),
  dataCenters: z.record(z.string(), dataCenter),
  /** Names of the agents whose targets receive no new tasks. */
  draining: z.array(z.string()).default([]),
  policy: policy.prefault({}),
});

/** Inferred from {@link environmentSchema}. */
export type Environment = z.infer<typeof environmentSchema>;
/** Settings of the placement and admission policy. */
export type Policy = Environment['policy'];

/** A published version of an environment, as stored. */
export const releaseSchema = z.object({
  version: z.number().int().nonnegative(),
  author: z.string(),
  at: z.number(),
  environment: environmentSchema,
});

/** Inferred from {@link releaseSchema}. */
export type Release = z.infer<typeof releaseSchema>;

/** The part of a release that an agent needs. */
export const agentConfigurationSchema = z.object({
  version: z.number().int().nonnegative(),
  outDataCenters: z.array(z.string()),
  draining: z.array(z.string()),
});

/** Inferred from {@link agentConfigurationSchema}. */
export type AgentConfiguration = z.infer<typeof agentConfigurationSchema>;

/**
 * Extracts the part of a release that an agent needs.
 *
 * @param release - the whole release
 * @returns the part for agents
 */
export const toAgentConfiguration = (release: Release): AgentConfiguration => ({
  version: release.version,
  outDataCenters: Object.entries(release.environment.dataCenters)
    .filter(([, center]) => center.state === 'out')
    .map(([key]) => key),
  draining: release.environment.draining,
});
