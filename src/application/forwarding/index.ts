export { createForwarder, type Forwarder } from './createForwarder';
export {
  createPromptReservations,
  type SentPrompt,
  type PromptReservations,
  type PromptReservationsDependencies,
} from './createPromptReservations';
export {
  createRequestArrivals,
  type AttemptArrival,
  type RequestArrivals,
} from './createRequestArrivals';
export { createRetryBudget, type RetryBudget } from './createRetryBudget';
export { createRouteTableHolder, type RouteTableHolder } from './createRouteTableHolder';
export { createIdentityWatch, type IdentityWatch } from './createIdentityWatch';
export { createRetryLender, type RetryLender } from './createRetryLender';
export { createServerDirectory } from './createServerDirectory';
export { createUnreadAttempts, type UnreadAttempts } from './createUnreadAttempts';
export type {
  CallerReply,
  ForwardContext,
  ForwardingDependencies,
  ForwardingMeter,
  Refusal,
  RefusalKind,
  Retry,
  RetryMeter,
  RetryRequest,
  RetryReturn,
  RetryUse,
  ServerDirectory,
} from './types';
