import type { Router } from '../../ports';

/** The router with the operations that hedging and the metrics use. */
export interface ServingRouter extends Router {
  /** Time without a first token after which to hedge, in milliseconds; null if unknown. */
  estimateHedgeDelayMs(service: string): number | null;
  countWaiting(): number;
}
