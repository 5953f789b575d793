export type { CrashCause } from './CrashCause';
export type { ProbedServers } from './ProbedServers';
export type { RequestPrints } from './RequestPrints';
