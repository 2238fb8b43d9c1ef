export * from './BodyBudget';
export { connectedAtOf } from './connectedAt';
export * from './createProtection';
export * from './createRequestServer';
export * from './PagedBuffer';
export * from './readBody';
export * from './rejections';
export * from './requestLimits';
