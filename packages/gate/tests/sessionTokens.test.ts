import { WorkerSession } from '../src/WorkerSession';
import type { WorkerReport } from '../src/WorkerClient';
import { BORN, CLOCK, createFixture, createRun, report } from './createSessionFixture';

const advance = (ms: number) => jest.advanceTimersByTimeAsync(ms);

describe('the fencing token of a session', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a fault in which the worker's next incarnation carried out a command of an agent
  // process that had been killed (soak test, seed 20). The token for a later incarnation must be
  // higher than the earlier token, although the new agent process does not know that one.
  it('uses a higher token for a later incarnation without knowing the token of the earlier one', async () => {
    const fixture = createFixture();
    const later = { ...report, born: BORN + 60_000, clock: 1 };
    const { token } = WorkerSession.create(later, fixture.host, {
      token: 0,
      unconfirmed: [],
    }).end();
    expect(token).toBeGreaterThan(BORN + 50_000);
    fixture.session.end();
  });

  // Guards against a fault in which a late command to the earlier incarnation reached the next one and
  // was carried out before the next one's first report had arrived (soak test, seed 47).
  it('sends a higher token to the next incarnation as soon as it answers', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.born = BORN + 60_000;
    await advance(20);
    const tokens = fixture.holds.map(({ token }) => token);
    expect(Math.max(...tokens)).toBe(fixture.born + CLOCK);
    fixture.session.end();
  });

  // Guards against two runs of a task at once: a worker carries out a late command whose token is not lower than the
  // highest that it has received, and its clock may begin lower than that of the incarnation before.
  it('sends the next incarnation a higher token than all commands before, although its clock begins lower', async () => {
    const fixture = createFixture({ token: 9_000_000, unconfirmed: [] });
    await advance(20);
    const highestBefore = Math.max(...fixture.holds.map(({ token }) => token));
    fixture.born = BORN + 60_000;
    await advance(20);
    const nextTokens = fixture.holds
      .filter(({ worker }) => worker.born === fixture.born)
      .map(({ token }) => token);
    expect(Math.min(...nextTokens)).toBeGreaterThan(highestBefore);
    fixture.session.end();
  });

  // Guards against a worker with an odd clock, after which no later process of the agent would be obeyed.
  it('takes nothing from the clocks of workers once the generation is known', async () => {
    const fixture = createFixture();
    fixture.generation = 1;
    fixture.session.continueWithGeneration();
    const odd = { ...report, clock: Number.MAX_SAFE_INTEGER / 2 };
    const tokenOf = (first: WorkerReport) =>
      WorkerSession.create(first, fixture.host, { token: 0, unconfirmed: [] }).end().token;
    expect(tokenOf(odd)).toBe(tokenOf(report));
    fixture.session.end();
  });

  // Guards against work that is sent to an agent whose worker refuses each of its commands.
  it('is closed as superseded until it continues with a higher generation', async () => {
    const fixture = createFixture();
    fixture.generation = 1;
    await advance(20);
    const tokenBefore = fixture.holds[fixture.holds.length - 1]?.token ?? Infinity;
    fixture.holdRefusal = { type: 'refused', reason: 'superseded', clock: CLOCK };
    await advance(50);
    expect(fixture.session.unavailableReason).toBe('superseded');
    expect(fixture.host.onSuperseded).toHaveBeenCalledWith(true);
    fixture.holdRefusal = undefined;
    fixture.generation = 2;
    fixture.session.continueWithGeneration();
    await advance(50);
    expect(fixture.session.unavailableReason).toBe('');
    expect(fixture.holds[fixture.holds.length - 1]?.token).toBeGreaterThan(tokenBefore);
    fixture.session.end();
  });

  // A refusal of this kind shows no other sender: a command of this process has overtaken the refused one.
  it('stays open after the refusal of a command that one with a higher token has overtaken', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = { type: 'refused', reason: 'superseded', clock: CLOCK };
    fixture.session.startRun(createRun(0));
    fixture.session.continueWithGeneration();
    await advance(20);
    expect(fixture.ends).toEqual(['notRun']);
    expect(fixture.session.unavailableReason).toBe('');
    expect(fixture.host.onSuperseded).toHaveBeenCalledWith(false);
    fixture.session.end();
  });

  // The first report of the next incarnation may be older than the list that it has answered with. A
  // token computed from that report would be lower than the one sent before, and the worker refuses
  // lower tokens.
  it('uses a token in the next session that is higher than any sent to that incarnation before', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.born = BORN + 60_000;
    await advance(20);
    const handover = fixture.session.end();
    const older = { ...report, born: fixture.born, clock: CLOCK - 10 };
    const next = WorkerSession.create(older, fixture.host, handover);
    expect(next.end().token).toBeGreaterThan(fixture.born + CLOCK);
  });
});
