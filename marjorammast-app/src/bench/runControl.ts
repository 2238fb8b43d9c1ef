import { sleep } from '@marjorammast/protocol';
import { callEntry } from '../callEntry';
import { Deployment } from '../local/Deployment';
import type { Program } from '../local/Deployment';
import { SAMPLE_ENVIRONMENT } from '../samples';
import { fitLine, valueAt } from './fitLine';
import { BYTES_PER_MB, US_PER_S, usageOf } from './usageOf';
import type { Usage } from './usageOf';

/**
 * Number of agents in each step; the last step has about 8 times as many as the first. All but
 * `SINGLE_AGENTS` of them share one process.
 */
const AGENT_STEPS = [107, 215, 430, 860] as const;

/** Number of agents that run in their own processes; their cost is measured. */
const SINGLE_AGENTS = 4;

/**
 * Number of entries in the steps that vary the agents, and numbers of entries and agents in the step
 * that shows the cost of a further entry.
 */
const ENTRIES = 3;
const MORE_ENTRIES = 8;
const AGENTS_WITH_MORE_ENTRIES = 107;

const SLOTS = 8;

/** Numbers of agents and entries that the system must support. */
const TARGET_AGENTS = 860;
const TARGET_ENTRIES = 12;

/** Time from the connection of all agents to the measurement, in milliseconds. */
const SETTLE_MS = 8_000;

/** Duration of a measurement, in milliseconds. */
const WINDOW_MS = 20_000;

/** Number of measured configuration changes in each step. */
const CHANGES = 5;

/** Mean cost of one process of a role. */
type Cost = { rssMb: number; cpuPercent: number; bytesPerS: number };

type Step = {
  entries: number;
  agents: number;
  entry: Cost;
  agent: Cost;
  storeReadsPerS: number;
  storeWritesPerS: number;
  changeEntryBytes: number;
  changeAgentBytes: number;
  changeMs: number;
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const bytesOf = ({ sentBytes, receivedBytes }: Usage): number => sentBytes + receivedBytes;

const costOf = (before: readonly Usage[], after: readonly Usage[], windowS: number): Cost => {
  const perProcess = after.map((end, index) => {
    const start = before[index] ?? end;
    const cpuUs = end.user + end.system - start.user - start.system;
    return {
      rssMb: end.rssBytes / BYTES_PER_MB,
      cpuPercent: (cpuUs / US_PER_S / windowS) * 100,
      bytesPerS: (bytesOf(end) - bytesOf(start)) / windowS,
    };
  });
  return {
    rssMb: mean(perProcess.map(({ rssMb }) => rssMb)),
    cpuPercent: mean(perProcess.map(({ cpuPercent }) => cpuPercent)),
    bytesPerS: mean(perProcess.map(({ bytesPerS }) => bytesPerS)),
  };
};

const usagesOf = (programs: readonly Program[]): Promise<Usage[]> =>
  Promise.all(programs.map(({ http }) => usageOf(http)));

const storeCounts = async (deployment: Deployment): Promise<{ reads: number; writes: number }> =>
  (await callEntry(deployment.store.http, 'GET', '/faults')).body as never;

/**
 * Measures configuration changes: the additional bytes per change and the longest time until all
 * agents have it.
 */
const measureChanges = async (deployment: Deployment, idle: { entry: Cost; agent: Cost }) => {
  const [first = ''] = deployment.addresses;
  const before = [await usagesOf(deployment.entries), await usagesOf(deployment.agents)] as const;
  const startedAt = performance.now();
  let changeMs = 0;
  for (let change = 0; change < CHANGES; change += 1) {
    const changeAt = performance.now();
    await callEntry(first, 'POST', `/v1/data-centers/ayutthaya/${change % 2 === 0 ? 'out' : 'in'}`);
    const { body } = await callEntry(first, 'GET', '/v1/environment');
    await deployment.waitUntil('change at every agent', async () => {
      const all = await Promise.all(
        deployment.agents.map(({ http }) => callEntry(http, 'GET', '/health')),
      );
      return all.every((agent) => agent.body['version'] === body['version']);
    });
    changeMs = Math.max(changeMs, performance.now() - changeAt);
  }
  const windowS = (performance.now() - startedAt) / 1_000;
  const entry = costOf(before[0], await usagesOf(deployment.entries), windowS);
  const agent = costOf(before[1], await usagesOf(deployment.agents), windowS);
  const extra = (duringChanges: Cost, whenIdle: Cost) =>
    Math.max(0, ((duringChanges.bytesPerS - whenIdle.bytesPerS) * windowS) / CHANGES);
  return {
    changeEntryBytes: extra(entry, idle.entry),
    changeAgentBytes: extra(agent, idle.agent),
    changeMs,
  };
};

const measureStep = async (entries: number, agents: number): Promise<Step> => {
  const dataCenters = ['bangkok-north', 'ayutthaya'];
  const options = {
    entries,
    agents: SINGLE_AGENTS,
    dataCenters,
    withTargets: false,
    logLevel: 'warn',
  };
  const deployment = await Deployment.create(options, SAMPLE_ENVIRONMENT);
  try {
    await deployment.startFleet(agents - SINGLE_AGENTS, SLOTS);
    await sleep(SETTLE_MS);
    const before = [await usagesOf(deployment.entries), await usagesOf(deployment.agents)] as const;
    const storeBefore = await storeCounts(deployment);
    const startedAt = performance.now();
    await sleep(WINDOW_MS);
    const windowS = (performance.now() - startedAt) / 1_000;
    const storeAfter = await storeCounts(deployment);
    const entry = costOf(before[0], await usagesOf(deployment.entries), windowS);
    const agent = costOf(before[1], await usagesOf(deployment.agents), windowS);
    return {
      entries,
      agents,
      entry,
      agent,
      storeReadsPerS: (storeAfter.reads - storeBefore.reads) / windowS,
      storeWritesPerS: (storeAfter.writes - storeBefore.writes) / windowS,
      ...(await measureChanges(deployment, { entry, agent })),
    };
  } finally {
    await deployment.stop();
  }
};

const COST_KEYS = ['rssMb', 'cpuPercent', 'bytesPerS'] as const;

/**
 * Fits a line to the measured cost of a role by the number of agents, adds the cost of further
 * entries and extrapolates to the target numbers.
 */
const extrapolate = (steps: readonly Step[], role: 'entry' | 'agent') => {
  const agentSteps = steps.filter(({ entries }) => entries === ENTRIES);
  const baseStep = agentSteps.find(({ agents }) => agents === AGENTS_WITH_MORE_ENTRIES);
  const moreEntriesStep = steps.find(({ entries }) => entries === MORE_ENTRIES);
  const slopes = COST_KEYS.map((key) => {
    const line = fitLine(agentSteps.map((step) => [step.agents, step[role][key]] as const));
    const perEntry =
      baseStep && moreEntriesStep
        ? (moreEntriesStep[role][key] - baseStep[role][key]) / (MORE_ENTRIES - ENTRIES)
        : 0;
    const at860 = valueAt(line, TARGET_AGENTS) + perEntry * (TARGET_ENTRIES - ENTRIES);
    return [key, { intercept: line.intercept, perAgent: line.slope, perEntry, at860 }] as const;
  });
  const last = agentSteps[agentSteps.length - 1];
  return {
    ...last?.[role],
    slopes: Object.fromEntries(slopes),
    at860: Object.fromEntries(slopes.map(([key, { at860 }]) => [key, at860])),
  };
};

/**
 * Measures what entries and agents cost without any tasks, with real processes, and extrapolates the
 * cost to the size that the system must support.
 *
 * @returns the measured steps, the slopes and the extrapolation
 */
export const runControl = async (): Promise<Record<string, unknown>> => {
  const steps: Step[] = [];
  for (let index = 0; index < AGENT_STEPS.length; index += 1) {
    steps.push(await measureStep(ENTRIES, AGENT_STEPS[index] ?? 0));
  }
  steps.push(await measureStep(MORE_ENTRIES, AGENTS_WITH_MORE_ENTRIES));
  const last = steps[steps.length - 1];
  const scaleToTarget = (total: number) => (total / (last?.entries ?? 1)) * TARGET_ENTRIES;
  return {
    agent: extrapolate(steps, 'agent'),
    entry: extrapolate(steps, 'entry'),
    storeReadsPerS: scaleToTarget(last?.storeReadsPerS ?? 0),
    storeWritesPerS: scaleToTarget(last?.storeWritesPerS ?? 0),
    changeMs: Math.max(...steps.map(({ changeMs }) => changeMs)),
    steps,
  };
};
