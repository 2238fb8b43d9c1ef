import { createLog } from '@marjorammast/telemetry';
import { NO_RESOURCES } from '@marjorammast/protocol';
import type { AdmissionRules, Link, WorkerView } from '@marjorammast/protocol';
import { DispatchEntry } from '../src/DispatchEntry';
import { testRoute } from './support';

const closedView: WorkerView = {
  service: 'desk',
  labels: [],
  capacity: NO_RESOURCES,
  free: NO_RESOURCES,
  state: 'closed',
  reason: '',
  slowness: 1,
  incarnation: '',
};

const state = { revision: 12, version: 3, routes: [testRoute], outDataCenters: [] as string[] };

describe('configure', () => {
  const lines: string[] = [];
  let entry: DispatchEntry;
  let dial: () => Promise<Link>;

  const configuredLines = () => lines.filter((line) => line.includes('event=configured'));

  /** Creates a connection to an agent that has the given rules, and keeps those that the entry sends to it. */
  const createAgentLink = (rules: AdmissionRules, sent: AdmissionRules[]) =>
    ({
      isOpen: true,
      call: () =>
        Promise.resolve({
          agent: 'a',
          rules,
          view: closedView,
          crashes: [],
          unsettled: [],
          clock: 0,
        }),
      notify: (method: string, params: AdmissionRules) => method === 'rules' && sent.push(params),
      onClose: jest.fn(),
      close: jest.fn(),
    }) as unknown as Link;

  /** Attaches the entry to an agent that has the given rules, and returns those that it gets from the entry. */
  const attachAgent = async (rules: AdmissionRules): Promise<AdmissionRules[]> => {
    const sent: AdmissionRules[] = [];
    dial = () => Promise.resolve(createAgentLink(rules, sent));
    entry.updateAgents([{ name: 'a', address: 'a', dataCenter: 'north' }]);
    await new Promise(setImmediate);
    return sent;
  };

  beforeEach(() => {
    lines.length = 0;
    dial = () => Promise.reject(new Error('no agents here'));
    entry = DispatchEntry.create({
      name: 'entry',
      dataCenter: 'north',
      dial: () => dial(),
      random: () => 0.5,
      log: createLog('test', 'info', (line) => lines.push(line)),
      meter: { answered: () => undefined },
    });
  });

  afterEach(() => entry.halt());

  // Guards against needless messages: in a deployment of 100 VMs, each registration of an agent in
  // the store made every entry send unchanged rules to all agents.
  it('sends no rules while only unrelated keys of the store change', () => {
    entry.configure(state, 12);
    entry.configure(state, 40);
    entry.configure(state, 41);
    expect(configuredLines()).toHaveLength(1);
    expect(configuredLines()[0]).toContain('revision=12');
  });

  it('applies the removal of a key at the revision of the store', () => {
    entry.configure({ ...state, revision: 15, outDataCenters: ['north'] }, 15);
    entry.configure(state, 19);
    expect(configuredLines().map((line) => /revision=(\d+)/.exec(line)?.[1])).toEqual(['15', '19']);
  });

  // Guards against a data centre that stays out for good: it was taken back while all entries were down, so that none
  // has seen the removal, of which the store keeps no item.
  it('takes a data centre back that agents still know as out, if the store has delivered all since', async () => {
    entry.configure(state, 60);
    const sent = await attachAgent({ revision: 50, outDataCenters: ['north'] });
    expect(sent).toEqual([{ revision: 60, outDataCenters: [] }]);
  });

  it('sends nothing to agents that have the same rules at a later revision', async () => {
    entry.configure({ ...state, outDataCenters: ['north'] }, 60);
    expect(await attachAgent({ revision: 50, outDataCenters: ['north'] })).toEqual([]);
  });

  // Guards against tasks that start in a data centre that is out: the store may be behind at this entry.
  it('takes over the rules of agents while the store has not delivered their revision', async () => {
    entry.configure(state, 49);
    const rules = { revision: 50, outDataCenters: ['north'] };
    const sent = await attachAgent(rules);
    entry.configure(state, 50);
    expect(sent).toEqual([rules]);
    // By now the store has delivered that the data centre was taken out and that it was taken back.
    entry.configure(state, 55);
    expect(sent).toEqual([rules, { revision: 55, outDataCenters: [] }]);
  });

  it('ignores an older configuration version and an older state', () => {
    entry.configure({ ...state, revision: 20, version: 5 }, 20);
    entry.configure({ ...state, version: 3, routes: [], outDataCenters: ['north'] });
    expect(entry.findRoute('h.example', '/claims/1')?.name).toBe('claims');
    expect(configuredLines()).toHaveLength(1);
  });
});
