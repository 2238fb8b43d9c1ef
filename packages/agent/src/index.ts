export * from './Agent';
export * from './checkStart';
export * from './serveAgentHttp';
export * from './runTask';
export * from './Slots';
export * from './StartRecords';
