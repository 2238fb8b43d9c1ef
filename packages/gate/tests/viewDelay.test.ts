import * as fc from 'fast-check';
import { countFitting } from '@marjorammast/protocol';
import type { WorkerView } from '@marjorammast/protocol';
import { IDLE_VIEW_DELAY_MS, VIEW_DELAY_MS } from '../src/constants';
import { viewDelay } from '../src/viewDelay';

const TASK = { cpu: 2_500, memoryMb: 64, accelerators: 0 };

const createView = (freeCpu: number, fields: Partial<WorkerView> = {}): WorkerView => ({
  service: 'desk',
  labels: ['a'],
  capacity: { cpu: 16_000, memoryMb: 32_000, accelerators: 0 },
  free: { cpu: freeCpu, memoryMb: 32_000, accelerators: 0 },
  state: 'open',
  reason: '',
  slowness: 1,
  incarnation: 'i-1@1',
  ...fields,
});

const freeCpu = fc.integer({ min: 0, max: 16_000 });

describe('viewDelay', () => {
  it('never leaves an entry believing that a full worker has room, or the other way round', () => {
    fc.assert(
      fc.property(freeCpu, freeCpu, fc.boolean(), (before, after, isActive) => {
        const known = createView(before);
        const current = createView(after);
        const delayMs = viewDelay({ known, lastNeeds: TASK, isActive }, current);
        const hadRoom = countFitting(TASK, known.free) > 0;
        const hasRoom = countFitting(TASK, current.free) > 0;
        if (hadRoom !== hasRoom) expect(delayMs).toBeLessThanOrEqual(IDLE_VIEW_DELAY_MS);
      }),
    );
  });

  it('sends nothing when the entry would place as many tasks as before', () => {
    fc.assert(
      fc.property(freeCpu, fc.boolean(), (cpu, isActive) => {
        const view = createView(cpu);
        expect(viewDelay({ known: view, lastNeeds: TASK, isActive }, view)).toBeUndefined();
      }),
    );
  });

  it('sends a change of state at once, also to an entry that is not active', () => {
    const closed = createView(0, { state: 'closed', reason: 'ejected' });
    expect(viewDelay({ known: createView(0), isActive: false }, closed)).toBe(0);
  });

  // The load: a crashed worker is silent, absent, and back with unknown runs before it is open again.
  it('sends a crash and the return to each entry, and nothing in between', () => {
    const states: Partial<WorkerView>[] = [
      { state: 'closed', reason: 'worker silent' },
      { state: 'closed', reason: 'no worker', service: '', labels: [], incarnation: '' },
      { state: 'closed', reason: 'runs unknown', incarnation: 'i-1@2' },
      { state: 'open', incarnation: 'i-1@2' },
    ];
    let known = createView(16_000);
    const sent = states
      .map((fields) => createView(16_000, fields))
      .filter((current) => {
        const isSent = viewDelay({ known, isActive: true }, current) !== undefined;
        if (isSent) known = current;
        return isSent;
      });
    expect(sent.map(({ state }) => state)).toEqual(['closed', 'open']);
  });

  it('sends changes of speed and room sooner to entries that use the worker', () => {
    const known = createView(0);
    [createView(0, { slowness: 1.5 }), createView(16_000)].forEach((current) => {
      expect(viewDelay({ known, isActive: true }, current)).toBe(VIEW_DELAY_MS);
      expect(viewDelay({ known, isActive: false }, current)).toBe(IDLE_VIEW_DELAY_MS);
    });
  });
});
