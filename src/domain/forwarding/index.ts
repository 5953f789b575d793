export { checkRequestKey, type RequestAccess } from './checkRequestKey';
export { chooseLeastLoadedServer } from './chooseLeastLoadedServer';
export { choosePacedServer, type PacedServerOptions } from './choosePacedServer';
export { chooseServerByLoad, type ServerByLoadOptions } from './chooseServerByLoad';
export {
  chooseServerByReport,
  type ServerByReportOptions,
  type ReportedServer,
} from './chooseServerByReport';
export { chooseTarget } from './chooseTarget';
export { compareIncarnations, type IncarnationOrder } from './compareIncarnations';
export { computeAttemptMs, type AttemptTimeOptions } from './computeAttemptMs';
export { computeEnginePaces } from './computeEnginePaces';
export { computeEventTimeoutMs, type EventTimeoutOptions } from './computeEventTimeoutMs';
export { computeRetryAfterMs, type RetryAfterOptions } from './computeRetryAfterMs';
export {
  decideStreamAdmission,
  type StreamAdmissionOptions,
  type StreamAdmission,
} from './decideStreamAdmission';
export { hasMemoryForCopy } from './hasMemoryForCopy';
export { predictFirstEventMs, type EnginePaces } from './predictFirstEventMs';
export { isAddressReserved, type AddressTimes } from './isAddressReserved';
export { computeBatchDelayMs } from './computeBatchDelayMs';
export { computeLongPollMs } from './computeLongPollMs';
export { computeStoreTimes, type StoreTimes } from './computeStoreTimes';
export { computeStalenessLimits, type StalenessLimits } from './computeStalenessLimits';
export { computePriority } from './computePriority';
export { countNeededKvTokens } from './countNeededKvTokens';
export { countPromptTokens } from './countPromptTokens';
export { countPrefillingRuns } from './countPrefillingRuns';
export { isRefusalUnstated } from './isRefusalUnstated';
export { isReturning, type ReturningOptions } from './isReturning';
export { findRoute } from './findRoute';
export { formatIncarnation } from './formatIncarnation';
export { hasMissedRows, type KnownVersions } from './hasMissedRows';
export { hasTimeForPrefill } from './hasTimeForPrefill';
export { isRunLost } from './isRunLost';
export { rankServersByPrompt } from './rankServersByPrompt';
export { createEventBuffer, type EventBuffer } from './createEventBuffer';
export { splitEvents, type SplitEvents, type StreamEvent } from './splitEvents';
export * from './types';
