export * from './GateAgent';
export * from './SlownessEstimate';
export * from './suspendAwareClock';
export * from './WorkerHealth';
export * from './WorkerSession';
export * from './WorkerClient';
