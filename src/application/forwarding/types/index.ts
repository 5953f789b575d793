export type { CallerReply, Refusal, RefusalKind } from './CallerReply';
export type { ForwardContext } from './ForwardContext';
export type { ForwardingDependencies } from './ForwardingDependencies';
export type { ForwardingMeter } from './ForwardingMeter';
export type { StreamGrant, StreamPlacement } from './StreamPlacement';
export type {
  HeldCopy,
  MigrationOutcome,
  ScheduledRun,
  StreamAttempt,
  StreamRun,
} from './StreamRun';
export type { RequestStep, StepTracker } from './StepTracker';
export type { ServerDirectory } from './ServerDirectory';
export type { SuspicionCause } from './SuspicionCause';
export type { Retry } from './Retry';
export type { RetryEvent, RetryMeter } from './RetryMeter';
export type { RetryRequest, RetryReturn } from './RetryRequest';
export type { RetryUse } from './RetryUse';
