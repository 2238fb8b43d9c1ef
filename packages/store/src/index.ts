export * from './etcdStore';
export * from './Store';
export * from './swap';
