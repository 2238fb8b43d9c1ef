import { ScarceRoom } from '../src/ScarceRoom';

describe('ScarceRoom', () => {
  it('begins below the lower limit and goes on up to the upper one', () => {
    const room = ScarceRoom.create();
    expect(room.recordFreeShare(0.2, 0)).toBeUndefined();
    expect(room.isScarce(0)).toBe(false);
    expect(room.recordFreeShare(0.1, 10)).toEqual({ isScarce: true, durationMs: 0 });
    expect(room.recordFreeShare(0.2, 200)).toBeUndefined();
    expect(room.isScarce(499)).toBe(true);
    expect(room.isScarce(500)).toBe(false);
  });

  it('begins when a job waits, whatever is free', () => {
    const room = ScarceRoom.create();
    room.recordWaiting(0);
    expect(room.recordFreeShare(0.9, 1)).toEqual({ isScarce: true, durationMs: 0 });
  });

  // Guards against a state that stays because nothing is dispatched, or because of changes from pass to pass.
  it('ends within a second after the last sign, with and without passes, and tells how long it was', () => {
    const room = ScarceRoom.create();
    room.recordFreeShare(0, 1_000);
    expect(room.isScarce(2_000)).toBe(false);
    expect(room.recordFreeShare(0.5, 9_000)).toEqual({ isScarce: false, durationMs: 300 });
    for (let at = 10_000; at < 12_000; at += 50)
      room.recordFreeShare((at / 50) % 2 ? 0.05 : 0.5, at);
    expect(room.isScarce(12_000)).toBe(true);
    expect(room.recordFreeShare(0.5, 12_300)).toEqual({ isScarce: false, durationMs: 2_200 });
  });
});
