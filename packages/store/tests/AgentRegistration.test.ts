import fc from 'fast-check';
import { registrationKey } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { AgentRegistration, StoreError } from '../src';
import type { StoredValue, WriteResult } from '../src';

const SEED = 20261207;

const KEY = registrationKey('agents', 'agent');

/** What becomes of a write. `delayed`: it gets no answer, and is carried out later if its condition still holds. */
type Fate = 'answered' | 'lost' | 'answerLost' | 'delayed';

/** Creates a store with one key, in which the fates of the next writes can be set. */
const createStore = () => {
  const fates: Fate[] = [];
  const delayed: (() => void)[] = [];
  const state: { stored?: StoredValue; revision: number } = { revision: 7 };
  const put = (value: string): WriteResult => {
    state.revision += 1;
    state.stored = { key: KEY, value, revision: state.revision };
    return { type: 'written', revision: state.revision };
  };
  const swap = (expected: number, value: string): WriteResult =>
    (state.stored?.revision ?? 0) === expected ? put(value) : { type: 'conflict' };
  return {
    fates,
    put,
    carryOutDelayed: () => delayed.splice(0).forEach((write) => write()),
    read: () =>
      Promise.resolve({ revision: state.revision, values: state.stored ? [state.stored] : [] }),
    write: (
      _key: string,
      value: string | undefined,
      [precondition]: readonly { revision: number }[],
    ): Promise<WriteResult> => {
      const fate = fates.shift() ?? 'answered';
      const swapNow = () => swap(precondition?.revision ?? -1, value ?? '');
      if (fate === 'delayed') delayed.push(swapNow);
      if (fate === 'lost' || fate === 'delayed') return Promise.reject(StoreError.create(fate));
      const result = swapNow();
      return fate === 'answered'
        ? Promise.resolve(result)
        : Promise.reject(StoreError.create('answer lost'));
    },
  };
};

const createRegistration = (store: ReturnType<typeof createStore>, processId: string) =>
  AgentRegistration.create({
    store,
    agent: { name: 'agent', address: '10.0.0.1:7720', dataCenter: 'one' },
    processId,
    random: () => 1,
    log: createLog('agent', 'silent'),
  });

const register = async (registration: AgentRegistration): Promise<number> => {
  const registered = registration.register();
  await jest.advanceTimersByTimeAsync(20_000);
  return registered;
};

describe('AgentRegistration', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against an earlier process with the higher token, whichever writes are lost or carried out late.
  it('gives each process a generation above those of all that have registered before', () =>
    fc.assert(
      fc.asyncProperty(
        fc.array(fc.array(fc.constantFrom<Fate>('answered', 'lost', 'answerLost', 'delayed')), {
          minLength: 2,
          maxLength: 5,
        }),
        async (fatesOfProcesses) => {
          const store = createStore();
          const generations: number[] = [];
          const registerNext = async ([fates, ...rest]: Fate[][]): Promise<void> => {
            if (!fates) return;
            store.fates.splice(0, store.fates.length, ...fates);
            const registration = createRegistration(store, `process-${rest.length}`);
            generations.push(await register(registration));
            store.carryOutDelayed();
            await registerNext(rest);
          };
          await registerNext(fatesOfProcesses);
          const sorted = [...new Set(generations)].sort((one, other) => one - other);
          expect(generations).toEqual(sorted);
        },
      ),
      { seed: SEED, numRuns: 100 },
    ));

  it('gets a higher generation while no other process has registered, also after a lost answer', async () => {
    const store = createStore();
    const registration = createRegistration(store, 'first');
    expect(await register(registration)).toBe(1);
    expect(await registration.renew()).toEqual({ type: 'renewed', generation: 2 });
    store.fates.push('answerLost');
    expect(await registration.renew()).toMatchObject({ type: 'unanswered' });
    expect(await registration.renew()).toEqual({ type: 'renewed', generation: 3 });
    expect(await registration.renew()).toEqual({ type: 'renewed', generation: 4 });
  });

  // Guards against two processes that take their worker from each other by turns.
  it('gets no higher generation once another process has registered', async () => {
    const store = createStore();
    const earlier = createRegistration(store, 'earlier');
    await register(earlier);
    store.fates.push('delayed');
    await earlier.renew();
    expect(await register(createRegistration(store, 'later'))).toBe(2);
    store.carryOutDelayed();
    expect(await earlier.renew()).toEqual({ type: 'replaced' });
    expect(await earlier.renew()).toEqual({ type: 'replaced' });
  });

  it.each([
    ['of an agent that does not number its processes', '{"address":"10.0.0.1:1"}'],
    ['with a malformed generation', '{"generation":-3,"process":"a"}'],
    ['that is no JSON', '{'],
  ])('begins at 1 above a registration %s', async (_, value) => {
    const store = createStore();
    store.put(value);
    expect(await register(createRegistration(store, 'first'))).toBe(1);
  });
});
