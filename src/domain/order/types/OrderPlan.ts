import type { EngineOrder } from '../../types';

/** An order to send, with the reason for the log. */
export interface PlannedOrder {
  readonly order: EngineOrder;
  readonly reason: string;
}

/** An engine that is not as desired and gets no order now. */
export interface WaitingEngine {
  readonly backendServer: string;
  readonly reason: string;
}

/** What to do to bring the engines to the desired state. */
export interface OrderPlan {
  readonly orders: readonly PlannedOrder[];
  readonly waiting: readonly WaitingEngine[];
}
