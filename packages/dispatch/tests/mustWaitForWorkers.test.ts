import fc from 'fast-check';
import { MAX_LOST_WORKERS_PER_TASK } from '../src/constants';
import { mustWaitForWorkers } from '../src/mustWaitForWorkers';

const agents = fc.subarray(['a', 'b', 'c', 'd', 'e']);

describe('mustWaitForWorkers', () => {
  it('waits only while a lost worker may have crashed and too many would have', () => {
    fc.assert(
      fc.property(agents, agents, agents, (lost, crashed, back) => {
        const lostAgents = new Set(lost);
        const mustWait = mustWaitForWorkers(lostAgents, crashed, (agent) => back.includes(agent));
        expect([...lostAgents]).toEqual(lost.filter((agent) => !back.includes(agent)));
        const unexplained = [...lostAgents].filter((agent) => !crashed.includes(agent));
        const isTooMany = unexplained.length + crashed.length >= MAX_LOST_WORKERS_PER_TASK;
        expect(mustWait).toBe(unexplained.length > 0 && isTooMany);
      }),
      { seed: 1 },
    );
  });

  it('does not wait for workers that are known to have crashed, or are back', () => {
    const lost = ['a', 'b', 'c'];
    expect(mustWaitForWorkers(new Set(lost), [], () => false)).toBe(true);
    expect(mustWaitForWorkers(new Set(lost), lost, () => false)).toBe(false);
    expect(mustWaitForWorkers(new Set(lost), [], (agent) => agent === 'a')).toBe(false);
    expect(mustWaitForWorkers(new Set(lost), ['a'], (agent) => agent === 'a')).toBe(true);
  });
});
