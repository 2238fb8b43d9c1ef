export * from './createLog';
export * from './createMetrics';
export * from './Timeline';
export * from './createBoundedOutput';
export * from './createLimitedWarning';
export * from './createPrometheusMetrics';
