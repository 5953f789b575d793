export type { RoutingLoad } from './RoutingLoad';
