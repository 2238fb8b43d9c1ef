import { createLog } from '@marjorammast/telemetry';
import { fastFirst, spareFast, waitForFast } from '../src/placementRule';
import { ScarcePlacement } from '../src/ScarcePlacement';
import type { PlacementOptions } from '../src/ScarcePlacement';

const hasFast = () => true;

const createScarce = (options: PlacementOptions) => {
  const log = createLog('entry', 'silent');
  const info = jest.spyOn(log, 'info');
  const placement = ScarcePlacement.create(options, log);
  placement.recordFreeShare('desk', 0.05, 0);
  return { placement, info };
};

describe('ScarcePlacement', () => {
  it('chooses the rule that is switched on, for the service that is scarce and as long as it is', () => {
    const { placement } = createScarce({ scarceRoom: true });
    expect(placement.ruleFor('desk', hasFast, 10)).toBe(spareFast);
    expect(placement.ruleFor('other', hasFast, 10)).toBe(fastFirst);
    expect(placement.ruleFor('desk', hasFast, 1_000)).toBe(fastFirst);
    expect(placement.countScarce(10)).toBe(1);
    expect(placement.countScarce(1_000)).toBe(0);
    const waiting = createScarce({ scarceRoom: true, waitForFast: true }).placement;
    expect(waiting.ruleFor('desk', hasFast, 10)).toBe(waitForFast);
  });

  // Guards against tasks that wait for fast workers of which none has the label or the size that they need.
  it('keeps the usual rule for tasks that no fast worker can run', () => {
    const { placement } = createScarce({ scarceRoom: true, waitForFast: true });
    expect(placement.ruleFor('desk', () => false, 10)).toBe(fastFirst);
  });

  it('changes nothing and learns nothing while it is off', () => {
    const { placement } = createScarce({});
    placement.recordWaiting('desk', 5);
    placement.recordRun('claims', 500, 1);
    expect(placement.ruleFor('desk', hasFast, 10)).toBe(fastFirst);
    expect(placement.expectedMs('claims', 100)).toBe(100);
  });

  it('logs each change once', () => {
    const { placement, info } = createScarce({ scarceRoom: true });
    placement.recordFreeShare('desk', 0.05, 100);
    placement.recordFreeShare('desk', 0.8, 900);
    expect(info.mock.calls).toEqual([
      [{ service: 'desk', scarce: true, since: 0 }, 'room_scarce'],
      [{ service: 'desk', scarce: false, since: 400 }, 'room_scarce'],
    ]);
  });
});
