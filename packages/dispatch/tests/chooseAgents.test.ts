import { chooseAgents } from '../src/chooseAgents';
import { REACH } from '../src/constants';

const agents = (count: number, dataCenter: string) =>
  Array.from({ length: count }, (_, index) => ({
    name: `${dataCenter}-${index}`,
    address: '127.0.0.1:1',
    dataCenter,
  }));

describe('chooseAgents', () => {
  it('takes the own data centre first and stays within its reach', () => {
    const chosen = chooseAgents([...agents(50, 'east'), ...agents(40, 'north')], 'e', 'north', []);
    expect(chosen).toHaveLength(REACH);
    expect(chosen.slice(0, 40).every(({ dataCenter }) => dataCenter === 'north')).toBe(true);
  });

  it('takes agents of a data centre that is out last', () => {
    const listed = [...agents(40, 'north'), ...agents(REACH, 'east')];
    const chosen = chooseAgents(listed, 'e', 'north', ['north']);
    expect(chosen.every(({ dataCenter }) => dataCenter === 'east')).toBe(true);
  });
});
