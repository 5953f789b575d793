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
import { computeReachedFraction } from '../../../../domain/shares';
import { TABLES, type StoreClient } from '../../../../../platform';

/** Dependencies of the retry parts. */
export interface RetryPartsDependencies {
  readonly settings: Pick<GatewaySettings, 'bounds' | 'isFirstStart' | 'peerAddress' | 'vm'>;
  readonly calls: Pick<GatewayClient, 'borrowRetry' | 'returnRetry'>;
  readonly clock: Clock;
  readonly gossip: Pick<Gossip, 'countVms' | 'drawAddresses' | 'listMembers'>;
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
  /** Reads which part of the bounds this VM may use, 0 to 1; those of all VMs are 1 at most. */
  readonly readShare: () => number;
  /** Reads which part of the bounds the VMs may use that this one reaches, 0 to 1. */
  readonly readReachedFraction: () => number;
}

/** Parts that bounds of other kinds are divided into where no retry is allowed without requests. */
const PARTS_WITHOUT_RETRIES = 100;

/** Names a VM in the ledger: one that replaces another may have its name. */
const formatHolder = (vm: string, address: string): string => `${vm} ${address}`;

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
  const self = formatHolder(vm, peerAddress);
  const fixedRetries = countFixedRetries(bounds);
  const totalParts = fixedRetries > 0 ? fixedRetries : PARTS_WITHOUT_RETRIES;
  const share = createShareLease({
    vm: self,
    isFirstStart,
    cooldownMs: bounds.retryWindowMs + bounds.settleMs,
    totalParts,
    table: TABLES.shares,
    store,
    countVms: gossip.countVms,
    clock,
    randomness,
    log,
  });
  const retries = createRetryBudget({
    bounds,
    clock,
    meter,
    countFixed: () => (fixedRetries > 0 ? share.countParts() : 0),
  });
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
  return {
    retries,
    lender,
    share,
    unread: createUnreadAttempts({ clock, log }),
    readShare: () => share.countParts() / totalParts,
    readReachedFraction: () => {
      const members = gossip.listMembers().map((one) => formatHolder(one.vm, one.address));
      return computeReachedFraction(share.listHolders(), new Set([self, ...members]));
    },
  };
};
