export { createLoadPoller, POLL_INTERVAL_MS } from './createLoadPoller';
export type { LoadPoller, LoadPollerDependencies } from './createLoadPoller';
export { createLoadView } from './createLoadView';
export type { LoadViewDependencies } from './createLoadView';
export { createRouter } from './createRouter';
export type { RouterDependencies } from './createRouter';
export type { RouterLoadView, ServingRouter } from './types';
export { runHedged } from './runHedged';
export type {
  HedgeDependencies,
  HedgedRequest,
  HedgeError,
  HedgeLeg,
  HedgeWinner,
} from './runHedged';
