import { WorkerContact } from '../src/WorkerContact';

describe('WorkerContact', () => {
  it('takes a worker that refuses connections for gone, and one that does not answer for silent', () => {
    const contact = WorkerContact.create();
    contact.recordUnanswered(false);
    expect(contact.isSilent).toBe(false);
    contact.recordUnanswered(false);
    expect(contact.isSilent).toBe(true);
    expect(contact.isGone).toBe(false);
    contact.recordUnanswered(true);
    expect(contact.isGone).toBe(true);
  });

  it('dates the loss by the first command without an answer, until the next answer', () => {
    jest.useFakeTimers();
    const contact = WorkerContact.create();
    expect(contact.lostAt).toBeUndefined();
    contact.recordUnanswered(false);
    const lostAt = performance.now();
    jest.advanceTimersByTime(40);
    contact.recordUnanswered(true);
    expect(contact.lostAt).toBe(lostAt);
    contact.recordAnswer();
    expect(contact.lostAt).toBeUndefined();
    expect(contact.isAnswering).toBe(true);
    jest.useRealTimers();
  });
});
