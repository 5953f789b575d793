export { createGenerations, type StoppableGenerations } from './createGenerations';
export type { GenerationsDependencies } from './types';
