export type { EngineState, PendingOrder } from './EngineState';
export type { OrderOptions } from './OrderOptions';
export type { OrderPlan, PlannedOrder, WaitingEngine } from './OrderPlan';
