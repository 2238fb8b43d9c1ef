export * from './daemonSettings';
export * from './readDocument';
