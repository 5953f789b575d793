export { createLoadPoller, POLL_INTERVAL_MS } from './createLoadPoller';
export type { LoadPoller, LoadPollerDependencies } from './createLoadPoller';
export { createLoadView } from './createLoadView';
export type { LoadViewDependencies } from './createLoadView';
export { createRouter } from './createRouter';
export type { RouterDependencies } from './createRouter';
export type { RoutingLoad } from './types';
