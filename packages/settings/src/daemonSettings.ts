import { z } from 'zod';

const address = z
  .string()
  .regex(/^[0-9a-fA-F.:]+:\d{1,5}$/, 'must be an IP number and a port, such as 127.0.0.1:7100');

const common = {
  name: z.string().min(1).max(60).describe('Name of the process, unique in the deployment.'),
  dataCenter: z.string().min(1).describe('Data centre the process runs in.'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Lowest level that is logged.'),
  statsd: address.optional().describe('StatsD receiver; without it no metrics are sent.'),
  stopTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(30_000)
    .describe('Longest time a graceful stop may take, in milliseconds.'),
};

/** Settings of the entry daemon. */
export const entrySettingsSchema = z.strictObject({
  ...common,
  http: address.describe('Address for callers and operators.'),
  rpc: address.describe('Address for other processes of the system.'),
  store: z.url().describe("Origin of the platform's store."),
  prefix: z
    .string()
    .min(1)
    .default('/marjorammast/')
    .describe('Beginning of every key in the store.'),
});

/** Settings of the agent daemon. */
export const agentSettingsSchema = z.strictObject({
  ...common,
  http: address.describe('Address on which the target announces itself.'),
  entries: z.array(address).min(1).describe('RPC addresses of entries to contact first.'),
});

/** Inferred from {@link entrySettingsSchema}. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Inferred from {@link agentSettingsSchema}. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

const clusterDaemon = {
  name: common.name,
  dataCenter: common.dataCenter,
  logLevel: common.logLevel,
  rpc: address.describe('Address for other processes of the system.'),
  advertisedRpc: address
    .optional()
    .describe('Address under which others reach `rpc`, where it differs.'),
  metrics: address.describe('Address on which metrics are served as text.'),
  store: address.describe("Address of the platform's store."),
  stopTimeoutMs: common.stopTimeoutMs,
};

/** Settings of the entry that dispatches to gates. */
export const dispatchSettingsSchema = z.strictObject({
  ...clusterDaemon,
  clients: address.describe('Address for clients.'),
  readiness: address.describe('Address on which the balancer asks for readiness.'),
});

/** Settings of the agent that gates a worker. */
export const gateSettingsSchema = z.strictObject({
  ...clusterDaemon,
  workerReports: address.describe('Address to which the worker reports.'),
  worker: address.describe('Address at which the worker takes orders.'),
});

/** Inferred from {@link dispatchSettingsSchema}. */
export type DispatchSettings = z.infer<typeof dispatchSettingsSchema>;
/** Inferred from {@link gateSettingsSchema}. */
export type GateSettings = z.infer<typeof gateSettingsSchema>;
