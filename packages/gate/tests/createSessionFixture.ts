import { createLog } from '@marjorammast/telemetry';
import type { RunEnd } from '@marjorammast/protocol';
import { UnsettledStarts } from '../src/UnsettledStarts';
import { WorkerSession } from '../src/WorkerSession';
import type { Run } from '../src/run';
import type { SessionHandover, WorkerSessionHost } from '../src/workerSessionHost';
import type {
  HoldResult,
  HoldCommand,
  ListedEnd,
  ListedRun,
  CommandResult,
  StartCommand,
  StopCommand,
  WorkerReport,
} from '../src/WorkerClient';

export const BORN = 1_000;

export const CLOCK = 50;

export const accepted: CommandResult = { type: 'accepted', clock: CLOCK };

export const noAnswer = {
  type: 'noAnswer' as const,
  detail: 'silent',
  wasRefused: false,
  wasSent: true,
};

export const report: WorkerReport = {
  id: 'i-1',
  born: BORN,
  service: 'desk',
  dataCenter: 'one',
  capacity: { cpu: 4_000, memoryMb: 1_000, accelerators: 0 },
  labels: [],
  isLeaving: false,
  clock: CLOCK,
  sequence: 1,
};

/** Creates a run of the task with the given index. */
export const createRun = (index: number): Run => ({
  task: { job: 'a', occurrence: 0, step: 0, index },
  run: 1,
  ownerId: 'entry',
  needs: { cpu: 1_000, memoryMb: 10, accelerators: 0 },
  estimateMs: 100_000,
  bestSlowness: 1,
  startsAt: performance.now(),
  startBy: Infinity,
  state: 'starting',
  endIfStopped: 'stopped',
  percent: 0,
  lastProgressAt: performance.now(),
  wasListed: false,
  route: 'claims',
  isSuspect: false,
  hasFailedElsewhere: false,
  wasStarted: false,
  spec: '',
  starts: 0,
  pendingStarts: 0,
  isWanted: true,
  startToken: 0,
});

/** Opens a session with a worker whose answers the test sets and whose commands it can inspect. */
export const createFixture = (handover: SessionHandover = { token: 0, unconfirmed: [] }) => {
  const fixture = {
    startAnswer: accepted as CommandResult,
    stopAnswer: accepted as CommandResult,
    running: [] as ListedRun[],
    ended: [] as ListedEnd[],
    starts: [] as StartCommand[],
    stops: [] as StopCommand[],
    ends: [] as RunEnd[],
    holds: [] as HoldCommand[],
    born: BORN,
    generation: 0,
    isRefusing: false,
    isHoldUnanswered: false,
    holdRefusal: undefined as HoldResult | undefined,
    hasUnreadableRows: false,
    mayStart: true,
    mayRepeatStart: false,
    isOwnerHeard: true,
  };
  const refused = { ...noAnswer, wasRefused: true, wasSent: false };
  const list = (): HoldResult => ({
    type: 'list',
    list: {
      born: fixture.born,
      clock: CLOCK,
      running: fixture.running,
      ended: fixture.ended,
      hasUnreadableRows: fixture.hasUnreadableRows,
    },
  });
  const answerLater = <T>(answer: () => T): Promise<T> =>
    new Promise((resolve) => {
      setTimeout(() => resolve(answer()), 1);
    });
  const host: WorkerSessionHost = {
    worker: {
      start: (command) => {
        fixture.starts.push(command);
        return answerLater(() => (fixture.isRefusing ? refused : fixture.startAnswer));
      },
      stop: (command) => {
        fixture.stops.push(command);
        return answerLater(() => (fixture.isRefusing ? refused : fixture.stopAnswer));
      },
      hold: (command) => {
        fixture.holds.push(command);
        const { holdRefusal } = fixture;
        if (holdRefusal) return answerLater(() => holdRefusal);
        if (fixture.isHoldUnanswered) return answerLater(() => noAnswer as HoldResult);
        return answerLater(() => (fixture.isRefusing ? refused : list()));
      },
    },
    mayStart: () => fixture.mayStart,
    mayRepeatStart: () => fixture.mayRepeatStart,
    isOwnerHeard: () => fixture.isOwnerHeard,
    onRunEnded: (_, how) => fixture.ends.push(how),
    onEndContradicted: jest.fn(),
    unsettledStarts: UnsettledStarts.create(jest.fn()),
    onStartedLate: jest.fn(),
    onUnhealthy: jest.fn(),
    generation: () => fixture.generation,
    onSuperseded: jest.fn(),
    onStalled: jest.fn(),
    onChanged: jest.fn(),
    findRunsToMove: () => [],
    onReplaced: jest.fn(),
    onLeft: jest.fn(),
    onCrashed: jest.fn(),
    onLost: jest.fn(),
    log: createLog('session', 'silent'),
  };
  const session = WorkerSession.create(report, host, handover);
  return Object.assign(fixture, { session, host });
};
