import type { Router } from '../../ports';

/** The router with what hedging and the metrics ask of it. */
export interface ServingRouter extends Router {
  /** Time to the first token after which a hedge pays, in milliseconds; null if unknown. */
  estimateHedgeDelayMs(service: string): number | null;
  countWaiting(): number;
}
