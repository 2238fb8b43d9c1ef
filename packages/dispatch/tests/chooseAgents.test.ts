import { chooseAgents, createAgentRanking } from '../src/chooseAgents';
import { MAX_ATTACHED_AGENTS } from '../src/constants';

const createAgents = (count: number, dataCenter: string) =>
  Array.from({ length: count }, (_, index) => ({
    name: `${dataCenter}-${index}`,
    address: '127.0.0.1:1',
    dataCenter,
  }));

describe('chooseAgents', () => {
  it('chooses agents of the data centre of the entry first, up to the maximum number of agents', () => {
    const chosen = chooseAgents(
      [...createAgents(50, 'east'), ...createAgents(40, 'north')],
      createAgentRanking('e'),
      'north',
      [],
    );
    expect(chosen).toHaveLength(MAX_ATTACHED_AGENTS);
    expect(chosen.slice(0, 40).every(({ dataCenter }) => dataCenter === 'north')).toBe(true);
  });

  it('chooses agents of an evacuated data centre last', () => {
    const agents = [...createAgents(40, 'north'), ...createAgents(MAX_ATTACHED_AGENTS, 'east')];
    const chosen = chooseAgents(agents, createAgentRanking('e'), 'north', ['north']);
    expect(chosen.every(({ dataCenter }) => dataCenter === 'east')).toBe(true);
  });
});
