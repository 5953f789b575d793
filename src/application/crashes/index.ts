export { CRASH_RETENTION_MS, createCrashHistory, type CrashHistory } from './createCrashHistory';
export { createCrashProbe, type CrashProbe } from './createCrashProbe';
export { createCrashTrials, type CrashTrials } from './createCrashTrials';
export { createQuarantineRows, type QuarantineRows } from './createQuarantineRows';
export { createRequestCrashTracker, type RequestCrashTracker } from './createRequestCrashTracker';
export type { CrashCause, ProbedServers, RequestPrints } from './types';
