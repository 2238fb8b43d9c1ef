export * from './StoreStandIn';
export * from './TargetStandIn';
export * from './PlatformStoreStandIn';
export * from './WorkerStandIn';
