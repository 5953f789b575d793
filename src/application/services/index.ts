export { createPlainServices } from './createPlainServices';
export type { PlainServices } from './createPlainServices';
export type { PlainDependencies, ServiceAnswer, ServiceCall } from './types';
