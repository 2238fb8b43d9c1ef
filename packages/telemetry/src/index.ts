export * from './log';
export * from './metrics';
export * from './Timeline';
export * from './boundedOutput';
export * from './prometheusMetrics';
