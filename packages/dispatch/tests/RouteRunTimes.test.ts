import { RouteRunTimes } from '../src/RouteRunTimes';

const learn = (ms: (index: number) => number, count = 200): RouteRunTimes => {
  const runTimes = RouteRunTimes.create();
  for (let index = 0; index < count; index += 1) runTimes.record('claims', ms(index), 2);
  return runTimes;
};

describe('RouteRunTimes', () => {
  it('reckons with the run time of the route at slowness 1, or with a longer estimate', () => {
    const runTimes = learn(() => 200);
    expect(runTimes.expectedMs('claims', 60)).toBeCloseTo(100, 6);
    expect(runTimes.expectedMs('claims', 140)).toBe(140);
  });

  it('reckons with a longer run than estimated while little is known of a route', () => {
    const runTimes = learn(() => 200, 19);
    expect(runTimes.expectedMs('claims', 100)).toBe(170);
    expect(runTimes.expectedMs('other', 100)).toBe(170);
  });

  // Guards against a route that gets no slower workers because of 3 of 100 runs that take 7 times as long.
  it('changes little with single long runs', () => {
    const runTimes = learn((index) => (index % 33 === 32 ? 1_400 : 200));
    expect(runTimes.expectedMs('claims', 1)).toBeLessThan(105);
  });

  it('follows a change of the run times', () => {
    const runTimes = learn((index) => (index < 200 ? 200 : 400), 600);
    expect(runTimes.expectedMs('claims', 1)).toBeGreaterThan(195);
  });
});
