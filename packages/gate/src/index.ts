export * from './announceAgent';
export * from './GateAgent';
export * from './WorkerHealth';
export * from './WorkerLife';
export * from './WorkerPort';
