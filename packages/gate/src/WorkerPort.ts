import type { Resources, TaskName } from '@marjorammast/protocol';

/** What a worker says about itself. */
export type WorkerReport = {
  id: string;
  /** Start of this life of the worker, in milliseconds since the Unix epoch. */
  born: number;
  service: string;
  dataCenter: string;
  capacity: Resources;
  /** Kind of the worker and its rack. */
  labels: string[];
  /** The worker is about to leave and must get nothing new. */
  isLeaving: boolean;
  /** The worker's steady clock when it sent the report, in milliseconds. */
  clock: number;
  /** Rises with each report of one life. */
  sequence: number;
};

/** One life of a worker. */
export type WorkerIdentity = Pick<WorkerReport, 'id' | 'born'>;

/** A run that the worker lists as running. */
export type ListedRun = { task: TaskName; run: number; percent: number };

/** A run that the worker lists as ended; the worker numbers its ends from 1. */
export type ListedEnd = {
  number: number;
  task: TaskName;
  run: number;
  how: 'done' | 'failed' | 'stopped' | 'lapsed';
};

/** What runs on a worker and what has ended there since the last acknowledged end. */
export type RunList = { born: number; clock: number; running: ListedRun[]; ended: ListedEnd[] };

/** Why a worker did not carry out an order. */
export type OrderRefusal =
  /** A higher token was seen. */
  | 'superseded'
  /** A run with this number or a higher one was stopped or has ended there. */
  | 'lowRun'
  /** The lease in the order had passed. */
  | 'late'
  | 'room'
  | 'unhealthy'
  /** Another life of the worker answered. */
  | 'otherLife'
  | 'malformed';

/** Answer to an order; after `noAnswer` it may have been carried out, or may be seconds later. */
export type OrderAnswer =
  | { type: 'accepted'; clock: number }
  | { type: 'refused'; reason: OrderRefusal; clock?: number }
  | { type: 'noAnswer'; detail: string };

/** Answer to a hold. */
export type HoldAnswer =
  { type: 'list'; list: RunList } | Exclude<OrderAnswer, { type: 'accepted' }>;

/** Order to start a run. */
export type StartOrder = {
  worker: WorkerIdentity;
  token: number;
  task: TaskName;
  run: number;
  spec: string;
  /** End of the lease on the worker's clock, in milliseconds. */
  leaseUntil: number;
};

/** Order to stop a run, or to keep it from starting. */
export type StopOrder = Pick<StartOrder, 'worker' | 'token' | 'task' | 'run'>;

/** Order to extend the lease of all runs and to list them. */
export type HoldOrder = {
  worker: WorkerIdentity;
  token: number;
  /** Highest number of an end that was taken note of. */
  lastEnd: number;
  /** New end of the lease on the worker's clock; absent to leave it. */
  leaseUntil?: number;
  /** Time that the worker waits for an end before it answers, in milliseconds. */
  waitMs: number;
};

/** What an agent needs of its worker. None of the functions rejects. */
export type WorkerPort = {
  start: (order: StartOrder) => Promise<OrderAnswer>;
  stop: (order: StopOrder) => Promise<OrderAnswer>;
  hold: (order: HoldOrder) => Promise<HoldAnswer>;
};
