import type { EngineOrder } from '../../types';

/** An order to send, with the reason for the log. */
export interface PlannedOrder {
  readonly order: EngineOrder;
  readonly reason: string;
}

/** An engine that is not in the desired state and gets no order now. */
export interface WaitingEngine {
  readonly backendServer: string;
  readonly reason: string;
}

/** Orders that bring the engines closer to the desired state, and engines that must wait. */
export interface OrderPlan {
  readonly orders: readonly PlannedOrder[];
  readonly waiting: readonly WaitingEngine[];
}
