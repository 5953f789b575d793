import type { GatewayClient } from '../../../../adapters/connect';
import {
  createRetryBudget,
  createRetryLender,
  type RetryBudget,
  type RetryLender,
  type RetryMeter,
} from '../../../../application/forwarding';
import type { Gossip } from '../../../../application/gossip';
import type { Clock, EventLog } from '../../../../application/ports';
import type { GatewayBounds } from '../../../../domain/forwarding';

/** Dependencies of the retry parts. */
export interface RetryPartsDependencies {
  readonly bounds: GatewayBounds;
  readonly calls: Pick<GatewayClient, 'borrowRetry'>;
  readonly clock: Clock;
  readonly gossip: Pick<Gossip, 'countVms' | 'drawAddresses'>;
  readonly log: EventLog;
  readonly meter: RetryMeter;
}

/** Parts that enforce the retry budget. */
export interface RetryParts {
  readonly retries: RetryBudget;
  readonly lender: RetryLender;
}

/** Wires the parts that enforce the retry budget. */
export const wireRetries = ({
  bounds,
  calls,
  clock,
  gossip,
  log,
  meter,
}: RetryPartsDependencies): RetryParts => {
  const retries = createRetryBudget({ bounds, clock, countVms: () => gossip.countVms(), meter });
  const lender = createRetryLender({
    clock,
    retries,
    log,
    meter,
    pickPeers: gossip.drawAddresses,
    askPeer: calls.borrowRetry,
  });
  return { retries, lender };
};
