import * as z from 'zod';

const address = z
  .string()
  .regex(/^[0-9a-fA-F.:]+:\d{1,5}$/, 'must be an IP number and a port, such as 127.0.0.1:7100');

/** Settings of both daemons of the first design; the dispatch design uses most of them too. */
const commonSettings = {
  name: z.string().min(1).max(60).describe('Name of the process, unique in the deployment.'),
  dataCenter: z.string().min(1).describe('Data centre of the process.'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Minimum level of logged events.'),
  statsd: address
    .optional()
    .describe('Address of the StatsD server; without it no metrics are sent.'),
  stopTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(30_000)
    .describe('Timeout of a graceful shutdown, in milliseconds.'),
};

/** Settings of the entry daemon of the first design. */
export const entrySettingsSchema = z.strictObject({
  ...commonSettings,
  http: address.describe('HTTP address for clients and operators.'),
  rpc: address.describe('RPC address for other processes of the system.'),
  store: z.url().describe("Origin of the platform's store."),
  prefix: z.string().min(1).default('/marjorammast/').describe('Prefix of every key in the store.'),
});

/** Settings of the agent daemon of the first design. */
export const agentSettingsSchema = z.strictObject({
  ...commonSettings,
  http: address.describe('HTTP address at which the target announces itself.'),
  entries: z.array(address).min(1).describe('RPC addresses of entries to contact first.'),
});

/** Inferred from {@link entrySettingsSchema}. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Inferred from {@link agentSettingsSchema}. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

const positive = z.number().int().positive();

/**
 * Accepts a number as text too, and an empty text as absent: templates fill in what a deployment does not state with nothing.
 */
const fromTemplate = <T extends z.ZodType>(schema: T) =>
  z.preprocess((value) => {
    if (value === '') return undefined;
    return typeof value === 'string' ? Number(value) : value;
  }, schema);

/** Head timeout that operators publish to clients, in milliseconds. */
const PUBLISHED_HEADER_TIMEOUT_MS = 3_000;

/** Bounds of what clients can make a process hold. What is absent has a default. */
const limitSettings = z.strictObject({
  maxBodyBytes: positive.optional().describe('Maximum size of a request body, in bytes.'),
  maxHeaderBytes: positive.optional().describe('Maximum size of a request head, in bytes.'),
  headerTimeoutMs: positive
    .min(PUBLISHED_HEADER_TIMEOUT_MS)
    .optional()
    .describe('Timeout of a request head, in milliseconds.'),
  bodyTimeoutMs: positive
    .optional()
    .describe('Timeout of a body of which no further byte arrives, in milliseconds.'),
  bodyMemoryBytes: positive
    .optional()
    .describe('Memory for all incomplete bodies of the process, in bytes.'),
  maxConnections: positive.optional().describe('Maximum number of connections of clients.'),
  maxConnectionsPerAddress: positive
    .optional()
    .describe('Maximum number of connections of one client address.'),
});

/** Settings of both daemons of the dispatch design. */
const dispatchDaemonSettings = {
  name: commonSettings.name,
  dataCenter: commonSettings.dataCenter,
  logLevel: commonSettings.logLevel,
  rpc: address.describe('RPC address for other processes of the system.'),
  advertisedRpc: address
    .optional()
    .describe('RPC address that other processes use, if it differs from `rpc`.'),
  metrics: address.describe('Address of the metrics endpoint, in the Prometheus text format.'),
  store: address.describe("Address of the platform's store."),
  stopTimeoutMs: commonSettings.stopTimeoutMs,
  limits: limitSettings.optional().describe('Bounds of what clients can make the process hold.'),
  memoryMb: fromTemplate(z.number().positive().optional()).describe('Memory of the VM, in MB.'),
  maxDescriptors: fromTemplate(positive.optional()).describe(
    'File descriptors that the process may open.',
  ),
};

const utilization = z.number().gt(0).lt(1);

/** How an entry with too little processor time forwards jobs to others. */
const forwardingSchema = z
  .strictObject({
    highUtilization: utilization
      .default(0.7)
      .describe(
        'Utilization of the processor above which new jobs are forwarded to other entries.',
      ),
    lowUtilization: utilization
      .default(0.5)
      .describe('Utilization of the processor below which forwarding falls to none.'),
    maxPeers: z
      .number()
      .int()
      .positive()
      .default(4)
      .describe('Largest number of entries to which jobs are forwarded.'),
  })
  .refine(({ highUtilization, lowUtilization }) => lowUtilization < highUtilization, {
    message: 'lowUtilization must be below highUtilization',
  });

/** Settings of the entry of the dispatch design, which sends tasks to the agents of workers. */
export const dispatchSettingsSchema = z.strictObject({
  ...dispatchDaemonSettings,
  clients: address.describe('HTTP address for clients.'),
  readiness: address.describe('Address of the readiness endpoint for the load balancer.'),
  forwarding: forwardingSchema
    .optional()
    .describe('Forwarding of jobs between entries; without it jobs are not forwarded.'),
  processorCores: z
    .strictObject({
      cores: fromTemplate(z.number().positive().default(1)).describe('Number of cores of the VM.'),
      share: fromTemplate(z.number().positive().default(1)).describe(
        'Part of them that is available.',
      ),
    })
    .default({ cores: 1, share: 1 })
    .describe('Processor time that the process may use, as cores times share.'),
  placement: z
    .strictObject({
      scarceRoom: z
        .boolean()
        .default(false)
        .describe('While fast workers are nearly full, tasks that can go to slower ones do so.'),
      waitForFast: z
        .boolean()
        .default(false)
        .describe('Meanwhile, tasks that may be late on slower workers wait for fast ones.'),
    })
    .optional()
    .describe('Placement of tasks on workers of different speed; without it fast ones come first.'),
  queueing: z
    .strictObject({
      maxQueueMs: z
        .number()
        .int()
        .positive()
        .max(200)
        .describe('Longest time for which a task without room waits at an agent, in milliseconds.'),
    })
    .optional()
    .describe('How tasks without room wait at agents; absent: they wait at the entry.'),
});

/** Settings of the agent of the dispatch design, which controls admission to one worker. */
export const gateSettingsSchema = z.strictObject({
  ...dispatchDaemonSettings,
  workerReports: address.describe('Address at which the agent receives the reports of the worker.'),
  worker: address.describe('Address of the interface through which the worker is controlled.'),
  placement: z
    .strictObject({
      robustSlowness: z
        .boolean()
        .default(false)
        .describe('Learns the slowness of the worker without the influence of single long runs.'),
    })
    .optional()
    .describe('How the worker appears to placement.'),
});

/** Inferred from {@link dispatchSettingsSchema}. */
export type DispatchSettings = z.infer<typeof dispatchSettingsSchema>;
/** Inferred from {@link gateSettingsSchema}. */
export type GateSettings = z.infer<typeof gateSettingsSchema>;
