export * from './GateAgent';
export * from './SlownessEstimate';
export * from './suspendClock';
export * from './WorkerHealth';
export * from './WorkerLife';
export * from './WorkerPort';
