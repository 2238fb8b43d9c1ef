export * from './GateAgent';
export * from './SlownessEstimate';
export * from './robustSlowness';
export * from './WorkerHealth';
export * from './WorkerSession';
export * from './WorkerClient';
