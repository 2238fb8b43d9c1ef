import { request } from 'node:http';
import { sleep } from '@marjorammast/protocol';
import { DispatchDeployment, ROUTE_HOST, ROUTE_PREFIX } from '../src/local/DispatchDeployment';
import type { Daemon } from '../src/local/DispatchDeployment';
import { ClientGroup } from './ClientGroup';
import {
  oversizedContentLengths,
  createIdleScenario,
  oversizedChunkedBodies,
  oversizedHeaderLines,
  bodiesPastContentLength,
  oversizedJobs,
  incompleteBodies,
  incompleteHeads,
  incompleteLines,
  oneByteChunks,
  unreadCalls,
  unreadResponses,
} from './clientScenarios';
import type { ClientScenario, Target } from './clientScenarios';
import { readUnreadBytes, readUsage } from './readProcess';

/** Resources of a process: memory of its VM, and descriptors without those reserved for files. */
type Bounds = { memoryMb: number; sockets: number };

/** Number of descriptors that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** The smallest VM of an entry. */
const ENTRY_BOUNDS: Bounds = { memoryMb: 160, sockets: 3_075 - FILE_DESCRIPTORS };

/** The smallest VM of an agent. */
const AGENT_BOUNDS: Bounds = { memoryMb: 128, sockets: 4_096 - FILE_DESCRIPTORS };

/** The options with which the platform starts the daemons in these VMs. */
const NODE_OPTIONS = {
  dispatchEntry: ['--max-old-space-size=160'],
  gateAgent: ['--max-old-space-size=96', '--max-semi-space-size=1'],
};

const KB_PER_MB = 1_024;

const BYTES_PER_MB = 1_048_576;

/** Longest time to the completion of the ordinary job, in milliseconds. */
const JOB_TIMEOUT_MS = 30_000;

/** Longest time to one answer to the ordinary job, in milliseconds. */
const ANSWER_TIMEOUT_MS = 8_000;

/** Pause between two submissions of the ordinary job, in milliseconds. */
const RETRY_PAUSE_MS = 500;

const ORDINARY_JOB = 'f'.repeat(16);

const ORDINARY_BODY = JSON.stringify({
  spec: JSON.stringify({ runMs: 20, cpu: 100 }),
  steps: [{ count: 1, cpu: 100, mem_mb: 10, est_runtime_ms: 20 }],
  best_effort: true,
});

/** Endpoints and what the untrusted clients send to them. */
const TARGETS: Record<string, Target> = {
  'entry-0-clients': { method: 'POST', path: `${ROUTE_PREFIX}:job` },
  'entry-0-readiness': { method: 'POST', path: '/api/ready' },
  'entry-0-metrics': { method: 'POST', path: '/metrics' },
  'entry-0-rpc': { method: '{"jsonrpc":"2.0",', path: '' },
  'agent-0-reports': { method: 'POST', path: '/api/instances/i-0/heartbeat' },
  'agent-0-metrics': { method: 'POST', path: '/metrics' },
  'agent-0-rpc': { method: '{"jsonrpc":"2.0",', path: '' },
};

const ENDPOINTS = Object.keys(TARGETS);

const ENTRY_ENDPOINTS = ENDPOINTS.filter((endpoint) => endpoint.startsWith('entry'));

const AGENT_ENDPOINTS = ENDPOINTS.filter((endpoint) => endpoint.startsWith('agent'));

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** Submits the ordinary job once, on a connection of its own. */
const submitOnce = (address: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const call = request(
      {
        host,
        port,
        method: 'POST',
        path: `${ROUTE_PREFIX}${ORDINARY_JOB}`,
        headers: { host: ROUTE_HOST, 'content-type': 'application/json' },
        agent: false,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      },
      (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
        });
        response.once('end', () => resolve(`${response.statusCode} ${text}`));
        response.once('error', reject);
      },
    );
    call.once('error', reject);
    call.end(ORDINARY_BODY);
  });

describe('many untrusted clients', () => {
  let deployment: DispatchDeployment;
  let groups: ClientGroup[];
  let nextJob: number;

  beforeEach(async () => {
    groups = [];
    nextJob = 1;
    deployment = await DispatchDeployment.create(1, 1, { nodeOptions: NODE_OPTIONS });
  });

  afterEach(async () => {
    groups.forEach((group) => group.close());
    // A graceful stop would wait for the load balancer.
    [...deployment.entries, ...deployment.agents].forEach(({ process: child }) =>
      child.kill('SIGKILL'),
    );
    await deployment.stop();
  });

  const portOf = async (endpoint: string): Promise<number> =>
    Number((await deployment.addressOf(endpoint)).split(':')[1]);

  /** Connects the clients of a scenario and waits until their bytes are read or their connections closed. */
  const runScenario = async (
    endpoints: string[],
    { connections, createScript }: ClientScenario,
  ) => {
    const ports = await Promise.all(endpoints.map(portOf));
    const group = await ClientGroup.create(ports, connections, (index, port) => {
      const target = TARGETS[endpoints[ports.indexOf(port)] ?? ''];
      if (!target) throw new Error(`no request is known for port ${port}`);
      nextJob += 1;
      return createScript(target, idOf(nextJob));
    });
    groups.push(group);
    await group.settle();
    return group;
  };

  const findExcess = async (
    { name, process: child }: Daemon,
    endpoints: string[],
    { memoryMb, sockets }: Bounds,
  ): Promise<string[]> => {
    const usage = readUsage(child.pid ?? 0);
    const end = child.signalCode ?? child.exitCode;
    if (end !== null || !usage) return [`${name} has ended: ${end}`];
    const unreadMb =
      readUnreadBytes(new Set(await Promise.all(endpoints.map(portOf)))) / BYTES_PER_MB;
    const residentMb = usage.residentKb / KB_PER_MB;
    const peakMb = usage.peakResidentKb / KB_PER_MB;
    const figures = [
      `${residentMb.toFixed(1)} MB resident`,
      `${peakMb.toFixed(1)} MB at the peak`,
      `${unreadMb.toFixed(1)} MB unread`,
      `${usage.sockets} sockets`,
    ].join(', ');
    const isWithin =
      peakMb <= memoryMb && residentMb + unreadMb <= memoryMb && usage.sockets <= sockets;
    return isWithin ? [] : [`${name} exceeds ${memoryMb} MB or ${sockets} sockets: ${figures}`];
  };

  /** Finds the processes that have ended or exceed their bounds. */
  const findExcesses = async (): Promise<string[]> => {
    const [entry] = deployment.entries;
    const [agent] = deployment.agents;
    if (!entry || !agent) throw new Error('no daemons');
    return [
      ...(await findExcess(entry, ENTRY_ENDPOINTS, ENTRY_BOUNDS)),
      ...(await findExcess(agent, AGENT_ENDPOINTS, AGENT_BOUNDS)),
    ];
  };

  /** Submits the ordinary job until it is completed, and returns the last answer. */
  const completeOrdinaryJob = async (): Promise<string> => {
    const address = await deployment.addressOf('entry-0-clients');
    const deadline = performance.now() + JOB_TIMEOUT_MS;
    let answer = '';
    while (performance.now() < deadline) {
      answer = await submitOnce(address).catch(String);
      if (answer.startsWith('200')) return answer;
      await sleep(RETRY_PAUSE_MS);
    }
    return answer;
  };

  const findRefusedStarts = (): string[] => {
    const refusedJobs = new Set(groups.flatMap((group) => group.refusedJobs));
    return deployment.workers
      .flatMap(({ events }) => events)
      .filter(({ task, type }) => type === 'start' && refusedJobs.has(task.slice(0, 16)))
      .map(({ task }) => task);
  };

  /** Checks the processes while the last clients are connected, then the ordinary job. */
  const expectOperational = async (): Promise<void> => {
    expect(await findExcesses()).toEqual([]);
    expect(await completeOrdinaryJob()).toBe('200 {"state":"completed"}');
    expect(await findExcesses()).toEqual([]);
    expect(findRefusedStarts()).toEqual([]);
  };

  /** Runs the scenarios one after the other at a port. The clients of the last one stay connected. */
  const runScenarios = async (endpoint: string, scenarios: ClientScenario[]): Promise<void> => {
    for (let index = 0; index < scenarios.length; index += 1) {
      groups.forEach((group) => group.close());
      const next = scenarios[index];
      if (next) await runScenario([endpoint], next);
      expect(await findExcesses()).toEqual([]);
    }
    await expectOperational();
  };

  describe.each(['entry-0-clients', 'agent-0-reports'])('at %s', (endpoint) => {
    // Guards against a body that is buffered although its Content-Length is over the limit.
    it('with a Content-Length far over the limit', () =>
      runScenarios(endpoint, [oversizedContentLengths]));

    // Guards against a chunked body that is buffered past the limit.
    it('with chunked bodies that continue past the limit', () =>
      runScenarios(endpoint, [oversizedChunkedBodies]));

    // Guards against bytes that are buffered past the Content-Length.
    it('with bodies that continue past their Content-Length', () =>
      runScenarios(endpoint, [bodiesPastContentLength]));

    // Guards against bodies within the limit that take all memory together.
    it('with many bodies in large chunks that stop short of their end', () =>
      runScenarios(endpoint, [incompleteBodies]));

    // Guards against a body that takes many times its length, one object for each chunk.
    it('with bodies in chunks of one byte that stop short of their end', () =>
      runScenarios(endpoint, [oneByteChunks]));

    // Guards against request heads that take all memory, and against lines that are kept past the limit.
    it('with request heads that never end', () =>
      runScenarios(endpoint, [oversizedHeaderLines, incompleteHeads]));

    // Guards against responses that are buffered without a limit for clients that do not read.
    it('that does not read its responses', () => runScenarios(endpoint, [unreadResponses]));
  });

  // Guards against whole jobs over the limit that take all memory, and against a run of a refused one.
  it('at entry-0-clients with whole jobs far over the limit', () =>
    runScenarios('entry-0-clients', [oversizedJobs]));

  describe.each(['entry-0-readiness', 'entry-0-metrics', 'agent-0-metrics'])(
    'at %s',
    (endpoint) => {
      // Guards against ports that are left out of the limits.
      it('with bodies and heads that never end', () =>
        runScenarios(endpoint, [
          oversizedContentLengths,
          oneByteChunks,
          oversizedHeaderLines,
          incompleteHeads,
        ]));

      // Guards against responses, here long ones, that are buffered for clients that do not read.
      it('that does not read its responses', () => runScenarios(endpoint, [unreadResponses]));
    },
  );

  describe.each(['entry-0-rpc', 'agent-0-rpc'])('at %s', (endpoint) => {
    // Guards against lines within the limit that take all memory together.
    it('with lines that never end', () => runScenarios(endpoint, [incompleteLines]));

    // Guards against responses that are buffered up to a limit for each connection only.
    it('that does not read its responses', () => runScenarios(endpoint, [unreadCalls]));
  });

  // Guards against connections that take all descriptors, on one port or on all ports together.
  it.each([
    ['the client port of the entry', ['entry-0-clients'], 3_200],
    ['all ports of the entry', ENTRY_ENDPOINTS, 3_200],
    ['all ports of the agent', AGENT_ENDPOINTS, 4_200],
  ])('with more connections than descriptors at %s', async (_, endpoints, connections) => {
    await runScenario(endpoints, createIdleScenario(connections));
    await expectOperational();
  });
});
