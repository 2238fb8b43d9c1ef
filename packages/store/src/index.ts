export * from './registerProcess';
export * from './etcdStore';
export * from './Store';
export * from './swap';
export * from './KeyValueStore';
export * from './StoreMirror';
