import { BodyBudget } from '../src';
import { PAGE_BYTES } from '../src/PagePool';

const createHolders = (names: string[]) => {
  const evicted: string[] = [];
  const holders = names.map((name) => ({ evict: () => void evicted.push(name) }));
  return { evicted, holders };
};

describe('BodyBudget', () => {
  it('counts what is reserved, given back and released', () => {
    const { holders } = createHolders(['a', 'b']);
    const [a, b] = holders;
    const budget = BodyBudget.create(100);
    if (!a || !b) throw new Error('no holders');
    expect(budget.reserve(a, 60)).toBe(true);
    expect(budget.reserve(b, 40)).toBe(true);
    budget.giveBack(a, 10);
    expect(budget.heldBytes).toBe(90);
    budget.release(b);
    budget.release(b);
    expect(budget.heldBytes).toBe(50);
    budget.release(a);
    expect(budget).toMatchObject({ heldBytes: 0, holders: 0 });
  });

  // Guards against many large bodies that shut out ordinary small ones.
  it('closes the holder with the most bytes', () => {
    const { evicted, holders } = createHolders(['small', 'large', 'new']);
    const [small, large, next] = holders;
    const budget = BodyBudget.create(100);
    if (!small || !large || !next) throw new Error('no holders');
    budget.reserve(small, 30);
    budget.reserve(large, 60);
    expect(budget.reserve(next, 20)).toBe(true);
    expect(evicted).toEqual(['large']);
    expect(budget.heldBytes).toBe(50);
  });

  it.each([
    ['that was added first', false, 'first'],
    ['that has made no progress since', true, 'second'],
  ])('closes among equals the one %s', (_, firstGoesOn, expected) => {
    const { evicted, holders } = createHolders(['first', 'second', 'new']);
    const [first, second, next] = holders;
    const budget = BodyBudget.create(100);
    if (!first || !second || !next) throw new Error('no holders');
    budget.reserve(first, 50);
    budget.reserve(second, 50);
    if (firstGoesOn) budget.touch(first);
    expect(budget.reserve(next, 20)).toBe(true);
    expect(evicted).toEqual([expected]);
  });

  it('refuses a holder that would have the most, and releases what it had', () => {
    const { evicted, holders } = createHolders(['a', 'b']);
    const [a, b] = holders;
    const budget = BodyBudget.create(100);
    if (!a || !b) throw new Error('no holders');
    budget.reserve(a, 40);
    budget.reserve(b, 50);
    expect(budget.reserve(b, 20)).toBe(false);
    expect(evicted).toEqual([]);
    expect(budget).toMatchObject({ heldBytes: 40, holders: 1 });
  });

  it('closes nobody for a body that can never fit', () => {
    const { evicted, holders } = createHolders(['a', 'b']);
    const [a, b] = holders;
    const budget = BodyBudget.create(100);
    if (!a || !b) throw new Error('no holders');
    budget.reserve(a, 40);
    expect(budget.reserve(b, 101)).toBe(false);
    expect(evicted).toEqual([]);
  });

  // Guards against pages that stay in the pool beside what is held, so that the process takes twice the budget.
  it('drops free pages that do not fit beside what is held', () => {
    const { holders } = createHolders(['a']);
    const [a] = holders;
    const budget = BodyBudget.create(4 * PAGE_BYTES);
    if (!a) throw new Error('no holders');
    budget.pages.give(Array.from({ length: 4 }, () => Buffer.alloc(PAGE_BYTES)));
    budget.reserve(a, 2 * PAGE_BYTES + 1);
    expect(budget.pages.freeBytes).toBe(PAGE_BYTES);
  });
});
