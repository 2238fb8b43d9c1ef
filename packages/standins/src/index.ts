export * from './StoreStandIn';
export * from './TargetStandIn';
