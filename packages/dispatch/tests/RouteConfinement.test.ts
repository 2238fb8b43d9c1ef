import { CONFINED_SHARE, CONFINEMENT_MS } from '../src/constants';
import { RouteConfinement } from '../src/RouteConfinement';

const claims = { name: 'claims', service: 'desk' };

const AGENTS = Array.from({ length: 11 }, (_, index) => `agent-${index}`);

describe('RouteConfinement', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('confines a route until some time has passed since its last crash', () => {
    const confinement = RouteConfinement.create();
    expect(confinement.confine(claims)).toBe(true);
    jest.advanceTimersByTime(CONFINEMENT_MS - 1);
    expect(confinement.confine(claims)).toBe(false);
    jest.advanceTimersByTime(CONFINEMENT_MS - 1);
    expect(confinement.routesOf('desk')).toEqual(['claims']);
    expect(confinement.routesOf('other')).toEqual([]);
    jest.advanceTimersByTime(1);
    expect(confinement.isConfined('claims')).toBe(false);
    expect(confinement.routesOf('desk')).toEqual([]);
  });

  it('chooses the same part of the workers at every entry', () => {
    const chosen = RouteConfinement.create().chooseAgents('claims', AGENTS);
    expect(chosen).toHaveLength(Math.ceil(AGENTS.length * CONFINED_SHARE));
    expect(RouteConfinement.create().chooseAgents('claims', [...AGENTS].reverse())).toEqual(chosen);
  });
});
