export { isModelReplaced } from './isModelReplaced';
export { listMissingModels } from './listMissingModels';
export { planOrders } from './planOrders';
export type {
  EngineState,
  OrderOptions,
  OrderPlan,
  PendingOrder,
  PlannedOrder,
  WaitingEngine,
} from './types';
