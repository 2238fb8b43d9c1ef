/** Kinds of trouble at one place. */
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

/** Inferred from {@link FAULT_KINDS}. */
export type FaultKind = (typeof FAULT_KINDS)[number];

type Span = {
  /** Pause since the one before, in milliseconds. */
  pauseMs: number;
  /** How long it lasts, in milliseconds. */
  forMs: number;
};

/** One disruption at one place. */
export type Fault = Span & {
  kind: FaultKind;
  /** Chooses the process, link or worker, below 1. */
  pick: number;
};

/** All processes are killed at once. */
export type PowerLoss = Span & { kind: 'powerLoss' };

const SHORTEST_MS = 150;

const LONGEST_MS = 3_000;

const MEAN_PAUSE_MS = 900;

/** Share of losses of power among all disruptions. */
const POWER_LOSS_SHARE = 0.02;

/**
 * Draws one disruption.
 *
 * @param random - uniform random numbers below 1
 */
export const drawFault = (random: () => number): Fault | PowerLoss => {
  const kind = FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)] ?? 'hangUp';
  const isPowerLoss = random() < POWER_LOSS_SHARE;
  const pauseMs = 2 * MEAN_PAUSE_MS * random();
  const forMs = SHORTEST_MS + (LONGEST_MS - SHORTEST_MS) * random();
  const pick = random();
  return isPowerLoss ? { kind: 'powerLoss', pauseMs, forMs } : { kind, pauseMs, forMs, pick };
};
