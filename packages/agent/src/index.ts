export * from './Agent';
export * from './gate';
export * from './http';
export * from './runTask';
export * from './Slots';
export * from './StartRecords';
