export * from './Agent';
export * from './checkStart';
export * from './http';
export * from './runTask';
export * from './Slots';
export * from './StartRecords';
