export type { RoutingLoad, RunningFigure } from './RoutingLoad';
export type { ReadyPool, ReadyServer, ServerPool } from './ServerPool';
export type { ServingRouter } from './ServingRouter';
