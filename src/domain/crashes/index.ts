export { computeFingerprint } from './computeFingerprint';
export { computeTrialPauseMs } from './computeTrialPauseMs';
export { countCrashedServers } from './countCrashedServers';
export { countNeededCrashes } from './countNeededCrashes';
export { decodeQuarantine } from './decodeQuarantine';
export { encodeQuarantine } from './encodeQuarantine';
export { findNewestMs } from './findNewestMs';
export { findResponsibleParts, type ResponsibleParts } from './findResponsibleParts';
export { formatPartFingerprint } from './formatPartFingerprint';
export { judgeAttemptEnd, type EndVerdict } from './judgeAttemptEnd';
export { judgeCrashes } from './judgeCrashes';
export { judgeCrashPresence, type CrashPresence } from './judgeCrashPresence';
export { judgeCrashRate, type CrashRateEvidence } from './judgeCrashRate';
export {
  judgeCrashShare,
  type CrashShareEvidence,
  type CrashShareVerdict,
  type CrashSuspect,
} from './judgeCrashShare';
export { judgeRequestCrashes, type RequestVerdict } from './judgeRequestCrashes';
export { isPartFingerprint } from './isPartFingerprint';
export { listCrashedServers, type CrashedServer } from './listCrashedServers';
export { listPartIds } from './listPartIds';
export { listPartOutcomes } from './listPartOutcomes';
export { listTriedServers } from './listTriedServers';
export { listUnansweredCrashes } from './listUnansweredCrashes';
export { mergeQuarantine } from './mergeQuarantine';
export * from './types';
