export * from './BodyBudget';
export * from './createProtection';
export * from './createRequestServer';
export * from './PagedBuffer';
export * from './readBody';
export * from './rejections';
export * from './requestLimits';
