export { checkRequestKey, type RequestAccess } from './checkRequestKey';
export { chooseForwardServer, type ServerChoiceOptions } from './chooseForwardServer';
export {
  chooseReportedServer,
  type ReportedChoiceOptions,
  type ReportedServer,
} from './chooseReportedServer';
export { chooseTarget } from './chooseTarget';
export { compareIncarnations, type IncarnationOrder } from './compareIncarnations';
export { computeFingerprint } from './computeFingerprint';
export { computeEventLimit, type EventLimitOptions } from './computeEventLimit';
export { computeReturnMs, type ReturnOptions } from './computeReturnMs';
export { decodeQuarantine } from './decodeQuarantine';
export { encodeQuarantine } from './encodeQuarantine';
export { decideStream, type StreamChoice, type StreamDecision } from './decideStream';
export { hasCopyRoom } from './hasCopyRoom';
export { predictFirstEvent, type EnginePaces } from './predictFirstEvent';
export { isAddressKept, type AddressTimes } from './isAddressKept';
export { computeBurstPause } from './computeBurstPause';
export { computeFollowWait } from './computeFollowWait';
export { computeSharing, type Sharing } from './computeSharing';
export { computePriority } from './computePriority';
export { countCrashes } from './countCrashes';
export { countNeededTokens } from './countNeededTokens';
export { countPromptTokens } from './countPromptTokens';
export { countReadingRuns } from './countReadingRuns';
export { isReturning, type ReturningOptions } from './isReturning';
export { findRoute } from './findRoute';
export { formatIncarnation } from './formatIncarnation';
export { hasEndedEarly } from './hasEndedEarly';
export { hasMissedRows, type VersionsKnown } from './hasMissedRows';
export { hasTimeToRead } from './hasTimeToRead';
export { isRunLost } from './isRunLost';
export { rankServers } from './rankServers';
export { splitEvents, type SplitEvents, type StreamEvent } from './splitEvents';
export * from './types';
