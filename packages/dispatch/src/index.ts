export * from './DispatchEntry';
export { readProcessUsage } from './EntryLoad';
export * from './findRoute';
export * from './job';
export * from './placeTasks';
export type { Queueing } from './placeWaitingTasks';
