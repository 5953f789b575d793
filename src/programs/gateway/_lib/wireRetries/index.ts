import type { GatewayClient } from '../../../../adapters/connect';
import {
  createRetryBudget,
  createRetryLender,
  createUnreadAttempts,
  type RetryBudget,
  type RetryLender,
  type RetryMeter,
  type UnreadAttempts,
} from '../../../../application/forwarding';
import type { Gossip } from '../../../../application/gossip';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import { createShareLease, type ShareLease } from '../../../../application/shares';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { countFixedRetries } from '../../../../domain/retry';
import { TABLES, type StoreClient } from '../../../../../platform';

/** Dependencies of the retry parts. */
export interface RetryPartsDependencies {
  readonly settings: Pick<GatewaySettings, 'bounds' | 'isFirstStart' | 'peerAddress' | 'vm'>;
  readonly calls: Pick<GatewayClient, 'borrowRetry' | 'returnRetry'>;
  readonly clock: Clock;
  readonly gossip: Pick<Gossip, 'countVms' | 'drawAddresses'>;
  readonly log: EventLog;
  readonly meter: RetryMeter;
  readonly randomness: Randomness;
  readonly store: StoreClient;
}

/** Parts that enforce the retry budget. */
export interface RetryParts {
  readonly retries: RetryBudget;
  readonly lender: RetryLender;
  readonly share: ShareLease;
  readonly unread: UnreadAttempts;
}

/** Wires the parts that enforce the retry budget. */
export const wireRetries = ({
  calls,
  clock,
  gossip,
  log,
  meter,
  randomness,
  settings,
  store,
}: RetryPartsDependencies): RetryParts => {
  const { bounds, isFirstStart, peerAddress, vm } = settings;
  const share = createShareLease({
    // A VM that replaces another one may have its name.
    vm: `${vm} ${peerAddress}`,
    isFirstStart,
    cooldownMs: bounds.retryWindowMs + bounds.settleMs,
    totalParts: countFixedRetries(bounds),
    table: TABLES.shares,
    store,
    countVms: gossip.countVms,
    clock,
    randomness,
    log,
  });
  const retries = createRetryBudget({ bounds, clock, meter, countFixed: share.countParts });
  const lender = createRetryLender({
    clock,
    retries,
    claimShare: share.claimNow,
    log,
    meter,
    pickPeers: gossip.drawAddresses,
    askPeer: calls.borrowRetry,
    notifyReturned: calls.returnRetry,
    randomness,
  });
  return { retries, lender, share, unread: createUnreadAttempts({ clock, log }) };
};
