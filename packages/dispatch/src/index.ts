export * from './DispatchEntry';
export * from './job';
export * from './operatorState';
export * from './placeTasks';
