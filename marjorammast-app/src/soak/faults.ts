/** Kinds of trouble that the soak makes. */
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
  'powerLoss',
] as const;

/** Inferred from {@link FAULT_KINDS}. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One disruption of a soak. */
export type Fault = {
  kind: FaultKind;
  /** Pause since the one before, in milliseconds. */
  pauseMs: number;
  /** How long it lasts, in milliseconds. */
  forMs: number;
  /** Chooses the process, link or worker, below 1. */
  pick: number;
};

const SHORTEST_MS = 150;

const LONGEST_MS = 3_000;

const MEAN_PAUSE_MS = 900;

/** Weight of `powerLoss` against the others. */
const POWER_LOSS_SHARE = 0.02;

/**
 * Draws one disruption.
 *
 * @param random - uniform random numbers below 1
 */
export const drawFault = (random: () => number): Fault => {
  const others = FAULT_KINDS.filter((kind) => kind !== 'powerLoss');
  const kind = others[Math.floor(random() * others.length)] ?? 'hangUp';
  return {
    kind: random() < POWER_LOSS_SHARE ? 'powerLoss' : kind,
    pauseMs: 2 * MEAN_PAUSE_MS * random(),
    forMs: SHORTEST_MS + (LONGEST_MS - SHORTEST_MS) * random(),
    pick: random(),
  };
};
