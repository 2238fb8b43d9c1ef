export * from './GateAgent';
export * from './SlownessEstimate';
export * from './WorkerHealth';
export * from './WorkerLife';
export * from './WorkerPort';
