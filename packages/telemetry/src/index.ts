export * from './log';
export * from './metrics';
export * from './Timeline';
