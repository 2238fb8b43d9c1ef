export * from './registerProcess';
export * from './AgentRegistration';
export * from './createEtcdStore';
export * from './Store';
export * from './swap';
export * from './KeyValueStore';
export * from './StoreMirror';
export * from './watchTimes';
