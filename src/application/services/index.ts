export { createPlainServices } from './createPlainServices';
export type { PlainServices } from './createPlainServices';
export type { PlainServicesDependencies, ServiceAnswer, ServiceCall } from './types';
