import type { Resources, TaskId } from '@marjorammast/protocol';

/** Report of a worker about its own state. */
export type WorkerReport = {
  id: string;
  /** Time at which this incarnation of the worker started, in milliseconds since the Unix epoch. */
  born: number;
  service: string;
  dataCenter: string;
  capacity: Resources;
  /** Labels that tasks can require, such as the kind of the worker and its rack. */
  labels: string[];
  /** The worker is draining: it will leave and must get no new runs. */
  isLeaving: boolean;
  /** The worker's monotonic clock when it sent the report, in milliseconds. */
  clock: number;
  /** Increases with each report of one incarnation. */
  sequence: number;
  /** Host and port at which the worker accepts commands, if the report names it. */
  address?: string;
};

/** Identifies one incarnation of a worker, that is, the time from one start of it to the next. */
export type WorkerIdentity = Pick<WorkerReport, 'id' | 'born'>;

/** A run that the worker lists as running. */
export type ListedRun = { task: TaskId; run: number; percent: number };

/** A run that the worker lists as ended. The worker numbers the ends of runs from 1. */
export type ListedEnd = {
  number: number;
  task: TaskId;
  run: number;
  how: 'done' | 'failed' | 'stopped' | 'lapsed';
};

/** The runs in progress on a worker and those that have ended since the last acknowledged end. */
export type RunList = {
  born: number;
  clock: number;
  running: ListedRun[];
  ended: ListedEnd[];
  /** True when `running` lacks rows that could not be read. */
  hasUnreadableRows?: boolean;
};

/** Why a worker did not carry out a command. */
export type CommandRefusal =
  /** The worker has received a higher fencing token. */
  | 'superseded'
  /** A run of the task with this number or a higher one was stopped or has ended on the worker. */
  | 'lowRun'
  /** The lease in the command had already expired. */
  | 'late'
  | 'room'
  | 'unhealthy'
  /** Another incarnation of the worker answered. */
  | 'otherLife'
  | 'malformed';

/**
 * Answer to a command. After `noAnswer` the worker may have carried out the command already, or may
 * still do so seconds later.
 */
export type CommandResult =
  | { type: 'accepted'; clock: number }
  | { type: 'refused'; reason: CommandRefusal; clock?: number }
  | {
      type: 'noAnswer';
      detail: string;
      /** Nothing accepts connections at the worker's address. */
      wasRefused: boolean;
      /** False when nothing of the command was sent, so that it is certainly not carried out. */
      wasSent: boolean;
    };

/** Answer to a {@link HoldCommand}. */
export type HoldResult =
  { type: 'list'; list: RunList } | Exclude<CommandResult, { type: 'accepted' }>;

/** Command to start a run. */
export type StartCommand = {
  worker: WorkerIdentity;
  /**
   * Fencing token of the agent. The worker refuses commands with a token below the highest that it has
   * received.
   */
  token: number;
  task: TaskId;
  run: number;
  spec: string;
  /** End of the lease on the worker's clock, in milliseconds. */
  leaseUntil: number;
};

/** Command to stop a run, or to prevent its start. */
export type StopCommand = Pick<StartCommand, 'worker' | 'token' | 'task' | 'run'>;

/** Command to extend the lease of all runs and to list them. */
export type HoldCommand = {
  worker: WorkerIdentity;
  token: number;
  /** Number of the last end that the agent has processed. */
  lastEnd: number;
  /** New end of the lease on the worker's clock, in milliseconds. If absent, the lease is unchanged. */
  leaseUntil?: number;
  /** Longest time that the worker waits for the end of a run before it answers, in milliseconds. */
  waitMs: number;
};

/** Connection from an agent to its worker. None of the returned promises rejects. */
export type WorkerClient = {
  start: (command: StartCommand) => Promise<CommandResult>;
  stop: (command: StopCommand) => Promise<CommandResult>;
  hold: (command: HoldCommand) => Promise<HoldResult>;
};
