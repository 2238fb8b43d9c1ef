export * from './EtcdStandIn';
export * from './TargetStandIn';
export * from './PlatformStoreStandIn';
export * from './WorkerStandIn';
