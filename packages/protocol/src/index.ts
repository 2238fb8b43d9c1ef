export * from './clusterMap';
export * from './constants';
export * from './environment';
export * from './job';
export * from './Link';
export * from './messages';
export * from './tcp';
export * from './verdict';
