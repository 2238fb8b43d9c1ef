import { createLog } from '@marjorammast/telemetry';
import { DispatchEntry } from '../src/DispatchEntry';
import { testRoute } from './support';

const state = { revision: 12, version: 3, routes: [testRoute], outDataCenters: [] as string[] };

describe('configure', () => {
  const lines: string[] = [];
  let entry: DispatchEntry;

  const configuredLines = () => lines.filter((line) => line.includes('event=configured'));

  beforeEach(() => {
    lines.length = 0;
    entry = DispatchEntry.create({
      name: 'entry',
      dataCenter: 'north',
      dial: () => Promise.reject(new Error('no agents here')),
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

  it('ignores an older configuration version and an older state', () => {
    entry.configure({ ...state, revision: 20, version: 5 }, 20);
    entry.configure({ ...state, version: 3, routes: [], outDataCenters: ['north'] });
    expect(entry.findRoute('h.example', '/claims/1')?.name).toBe('claims');
    expect(configuredLines()).toHaveLength(1);
  });
});
