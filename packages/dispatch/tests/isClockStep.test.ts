import { isClockStep } from '../src/isClockStep';

const agent = (suspensionMs: number | undefined) => ({
  measureSuspension: () => Promise.resolve(suspensionMs),
});

describe('isClockStep', () => {
  it.each([
    ['an agent whose clock has advanced as the monotonic one', [agent(2_400), agent(3)], true],
    ['no agent but such whose clocks have advanced by the step too', [agent(2_400)], false],
    ['an agent that does not answer', [agent(undefined)], false],
    ['no agent', [], false],
  ])('with %s', async (_, agents, expected) => {
    expect(await isClockStep(agents, 2_400)).toBe(expected);
  });
});
