/**
 * Kinds of faults and planned operations, each of which affects one component. `hangUp` sends
 * SIGHUP to a process. `muteLink` withholds the data from server to client. `stuckLink` stalls the
 * open connections of a link for good. `storeForgets` discards the store's history of changes.
 * `workerReborn` restarts a worker under the same id. `workerLeaves` drains a worker. `evacuate`
 * takes a data centre out. `configure` writes a new version of the operators' configuration.
 */
export const FAULT_KINDS = [
  'stopEntry',
  'stopAgent',
  'killEntry',
  'killAgent',
  'freezeEntry',
  'freezeAgent',
  'hangUp',
  'slowLink',
  'silentLink',
  'muteLink',
  'stuckLink',
  'resetLink',
  'storeRefuses',
  'storeSilent',
  'storeSlow',
  'storeAnswerLost',
  'storeForgets',
  'workerSilent',
  'workerAnswerLost',
  'workerLate',
  'workerStuck',
  'workerReborn',
  'workerLeaves',
  'evacuate',
  'configure',
] as const;

/** One of {@link FAULT_KINDS}. */
export type FaultKind = (typeof FAULT_KINDS)[number];

type FaultTiming = {
  /**
   * Pause before the fault starts, in milliseconds: after the start of the previous fault, or after
   * the end of a power loss.
   */
  pauseMs: number;
  /** Duration of the fault, in milliseconds. */
  durationMs: number;
};

/** A fault of one component. */
export type Fault = FaultTiming & {
  kind: FaultKind;
  /** Random number from 0 to below 1 that chooses the process, link, worker or data centre. */
  pick: number;
};

/** A power loss, which kills all processes at once. */
export type PowerLoss = FaultTiming & { kind: 'powerLoss' };

const MIN_DURATION_MS = 150;

const MAX_DURATION_MS = 3_000;

const MEAN_PAUSE_MS = 900;

/** Share of power losses among all faults. */
const POWER_LOSS_SHARE = 0.02;

/**
 * Draws one fault.
 *
 * @param random - uniform random numbers from 0 to below 1
 * @returns the fault with its pause and duration
 */
export const drawFault = (random: () => number): Fault | PowerLoss => {
  const kind = FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)] ?? 'hangUp';
  const isPowerLoss = random() < POWER_LOSS_SHARE;
  const pauseMs = 2 * MEAN_PAUSE_MS * random();
  const durationMs = MIN_DURATION_MS + (MAX_DURATION_MS - MIN_DURATION_MS) * random();
  const pick = random();
  return isPowerLoss
    ? { kind: 'powerLoss', pauseMs, durationMs }
    : { kind, pauseMs, durationMs, pick };
};
