import fc from 'fast-check';
import type { Params } from '@marjorammast/protocol';
import { admit } from '../src/admit';
import type { AdmissionState } from '../src/admit';

const needs = { cpu: 500, memoryMb: 10, accelerators: 0 };

const assignment: Params<'assign'> = {
  job: 'a',
  occurrence: 0,
  step: 0,
  service: 'desk',
  route: 'claims',
  isSuspect: false,
  hasFailedElsewhere: false,
  spec: '',
  needs,
  maxPerWorker: 0,
  estimateMs: 100,
  bestSlowness: 1,
  runs: [
    [0, 1],
    [1, 1],
    [2, 1],
    [3, 1],
  ],
  echo: 0,
  heldMs: 0,
};

const state: AdmissionState = {
  isOpen: true,
  ageMs: 10,
  isDataCenterOut: false,
  service: 'desk',
  labels: ['a', 'rack-1'],
  free: { cpu: 16_000, memoryMb: 32_000, accelerators: 0 },
  runs: 0,
  runsOfStep: 0,
  isTaskRunning: false,
  isOnTrial: false,
  isOnProbation: false,
};

describe('admit', () => {
  it('admits all runs when they fit', () => {
    expect(admit(assignment, state).count).toBe(4);
  });

  it.each([
    ['closed', { isOpen: false }],
    ['stale', { ageMs: 251 }],
    ['dataCenterOut', { isDataCenterOut: true }],
    ['otherService', { service: 'other' }],
    ['lowRun', { isTaskRunning: true }],
    ['probation', { isOnProbation: true }],
  ] as const)('admits no runs for the reason %s', (reason, fields) => {
    expect(admit(assignment, { ...state, ...fields })).toEqual({ count: 0, reason });
  });

  it('requires the label of the step', () => {
    expect(admit({ ...assignment, label: 'rack-1' }, state).count).toBe(4);
    expect(admit({ ...assignment, label: 'rack-2' }, state)).toEqual({
      count: 0,
      reason: 'missingLabel',
    });
  });

  it('limits the runs of a step on one worker', () => {
    const limited = { ...assignment, maxPerWorker: 3 };
    expect(admit(limited, { ...state, runsOfStep: 1 })).toEqual({
      count: 2,
      reason: 'workerLimit',
    });
    expect(admit(limited, { ...state, runsOfStep: 5 }).count).toBe(0);
  });

  it('admits one run in total on a worker on trial', () => {
    expect(admit(assignment, { ...state, isOnTrial: true }).count).toBe(1);
    expect(admit(assignment, { ...state, isOnTrial: true, runs: 1 }).count).toBe(0);
  });

  it('never admits more than fits in any kind of resource', () => {
    const amount = fc.nat({ max: 4_000 });
    const resources = fc.record({ cpu: amount, memoryMb: amount, accelerators: amount });
    fc.assert(
      fc.property(resources, resources, (each, free) => {
        const { count } = admit({ ...assignment, needs: each }, { ...state, free });
        expect(count * each.cpu).toBeLessThanOrEqual(free.cpu);
        expect(count * each.memoryMb).toBeLessThanOrEqual(free.memoryMb);
        expect(count * each.accelerators).toBeLessThanOrEqual(free.accelerators);
      }),
      { seed: 77 },
    );
  });
});
