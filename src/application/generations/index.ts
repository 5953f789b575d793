export { createGenerations, type WatchedGenerations } from './createGenerations';
export type { GenerationsDependencies } from './types';
