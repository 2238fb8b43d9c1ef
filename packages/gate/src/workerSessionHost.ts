import type { RunEnd } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { EndSign, LostRun, Run } from './run';
import type { UnsettledStart, UnsettledStarts } from './UnsettledStarts';
import type { WorkerClient } from './WorkerClient';

/** State that is passed from the session of one worker incarnation to the next session. */
export type SessionHandover = {
  /** Highest fencing token that the worker may have received. */
  token: number;
  /** Runs that either incarnation of the worker may have started. */
  unconfirmed: readonly Run[];
};

/** Connection of a session to the worker and callbacks into the agent. */
export type WorkerSessionHost = {
  worker: WorkerClient;
  /** Tells whether a run that has waited for its start may still start. */
  mayStart: (run: Run) => boolean;
  /** Tells whether the start of a run that got no answer may be sent again. */
  mayRepeatStart: (run: Run) => boolean;
  /** Tells whether the entry that owns a run has not been silent for too long. */
  isOwnerHeard: (run: Run) => boolean;
  onRunEnded: (run: Run, how: RunEnd, sign: EndSign) => void;
  /** Called when the worker lists a run as running whose end has been reported before. */
  onEndContradicted: () => void;
  /** Starts without an answer, also those that were sent to earlier incarnations of the worker. */
  unsettledStarts: UnsettledStarts;
  /** Called when the worker lists a run whose start got no answer. */
  onStartedLate: (start: UnsettledStart, born: number) => void;
  /** Called when the worker refuses a run as unhealthy. */
  onUnhealthy: (run: Run) => void;
  /** Generation of the agent's process; 0 while it is not known. */
  generation: () => number;
  /**
   * Called when the worker refuses a command, since it has received a higher fencing token. `isOvertaken` tells
   * whether this process has sent none that is as high.
   */
  onSuperseded: (isOvertaken: boolean) => void;
  /** Called when a run makes no progress. */
  onStalled: (run: Run) => void;
  /** Called when the free resources or the availability of the worker have changed. */
  onChanged: () => void;
  /**
   * Called with the running runs after their progress was updated. Returns those that would end
   * sooner on another worker.
   */
  findRunsToMove: (runs: readonly Run[]) => Run[];
  /** Called when another incarnation of the worker has answered. */
  onReplaced: () => void;
  /** Called when the worker has deregistered and all its runs have ended. */
  onLeft: () => void;
  /** Called once the worker is known to have crashed, with the runs that it had. */
  onCrashed: (lostRuns: readonly LostRun[]) => void;
  /** Called with the runs whose leases have expired while the worker was silent. */
  onLost: (runs: readonly Run[]) => void;
  log: Log;
};
