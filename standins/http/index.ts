export { createFaultyServer } from './createFaultyServer';
export type { FaultyServer, ServerCounts, ServerEnv, ServerFaults } from './createFaultyServer';
