import fc from 'fast-check';
import { choosePeers, chooseReceiver, nextForwardedShare } from '../src/chooseForwarding';
import type { Receiver } from '../src/chooseForwarding';
import { THRESHOLDS } from './forwardingSupport';

const createReceiver = (name: string, dataCenter: string, utilization: number): Receiver => ({
  name,
  dataCenter,
  load: { utilization, processorCores: 1, accepts: true },
  reservedCores: 0,
});

const createPeers = (near: number, far: number) => [
  ...Array.from({ length: near }, (_, index) => ({
    name: `n${index}`,
    address: '',
    dataCenter: 'one',
  })),
  ...Array.from({ length: far }, (_, index) => ({
    name: `f${index}`,
    address: '',
    dataCenter: 'two',
  })),
];

describe('nextForwardedShare', () => {
  it('rises with the utilization above the high threshold, and faster when saturated', () => {
    expect(nextForwardedShare(0, 0.7, THRESHOLDS)).toBe(0);
    expect(nextForwardedShare(0, 0.8, THRESHOLDS)).toBeCloseTo(0.125);
    expect(nextForwardedShare(0, 1, THRESHOLDS)).toBeGreaterThan(0.5);
  });

  it('keeps the share near the high threshold, and falls below', () => {
    expect(nextForwardedShare(0.4, 0.65, THRESHOLDS)).toBe(0.4);
    expect(nextForwardedShare(0.4, 0.55, THRESHOLDS)).toBeLessThan(0.4);
    expect(nextForwardedShare(0.4, 0.3, THRESHOLDS)).toBeLessThan(0.36);
    expect(nextForwardedShare(0.03, 0.3, THRESHOLDS)).toBe(0);
  });

  it('stays between 0 and 1', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 1, noNaN: true }),
        fc.double({ min: 0, max: 1, noNaN: true }),
        (share, utilization) => {
          const next = nextForwardedShare(Math.min(share, 0.95), utilization, THRESHOLDS);
          expect(next).toBeGreaterThanOrEqual(0);
          expect(next).toBeLessThan(1);
        },
      ),
    );
  });
});

describe('chooseReceiver', () => {
  it('prefers the own data centre while an entry there has time', () => {
    const far = createReceiver('far', 'two', 0);
    expect(chooseReceiver([far, createReceiver('near', 'one', 0.5)], 'one', THRESHOLDS, 0.9)).toBe(
      'near',
    );
    expect(chooseReceiver([far, createReceiver('near', 'one', 0.6)], 'one', THRESHOLDS, 0.9)).toBe(
      'far',
    );
  });

  it('chooses by spare processor time, without what was forwarded since the report', () => {
    const receivers = [createReceiver('a', 'one', 0.1), createReceiver('b', 'one', 0.5)];
    const count = (name: string, list: Receiver[]) =>
      Array.from({ length: 100 }, (_, index) =>
        chooseReceiver(list, 'one', THRESHOLDS, index / 100),
      ).filter((chosen) => chosen === name).length;
    expect(count('a', receivers)).toBe(84);
    const [first, second] = receivers as [Receiver, Receiver];
    expect(count('a', [{ ...first, reservedCores: 0.6 }, second])).toBe(0);
  });

  it('chooses none when all are busy or accept nothing', () => {
    const closed = createReceiver('a', 'one', 0.1);
    closed.load.accepts = false;
    expect(
      chooseReceiver([closed, createReceiver('b', 'one', 0.8)], 'one', THRESHOLDS, 0),
    ).toBeUndefined();
  });
});

describe('choosePeers', () => {
  const choose = (near: number, far: number, out: string[] = []) =>
    choosePeers(createPeers(near, far), (name) => name, 'one', out, 4).map(({ name }) => name);

  it('takes half of them from other data centres, which may have time when none at home has', () => {
    expect(choose(5, 9)).toEqual(['n0', 'n1', 'f0', 'f1']);
  });

  it('fills up from the other group when one is small', () => {
    expect(choose(1, 9)).toEqual(['n0', 'f0', 'f1', 'f2']);
    expect(choose(5, 1)).toEqual(['n0', 'n1', 'f0', 'n2']);
  });

  it('leaves evacuated data centres out', () => {
    expect(choose(1, 9, ['two'])).toEqual(['n0']);
  });
});
