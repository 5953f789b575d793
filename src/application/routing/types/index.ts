export type { RouterLoadView, RunningEstimate } from './RouterLoadView';
export type { ReadyPool, ReadyServer, ServerPool } from './ServerPool';
export type { ServingRouter } from './ServingRouter';
