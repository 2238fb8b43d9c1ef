export * from './DispatchEntry';
export * from './findRoute';
export * from './job';
export * from './placeTasks';
export type { Queueing } from './placeWaitingTasks';
