import type { EventLog } from '../../ports';
import type { RetryBudget } from '../createRetryBudget';
import type { RetryMeter } from '../types';

/** Dependencies of the retry lender. */
export interface RetryLenderDependencies {
  readonly retries: RetryBudget;
  readonly log: EventLog;
  readonly meter: RetryMeter;
  /** Picks the addresses of some other VMs at random. */
  readonly pickPeers: (count: number) => readonly string[];
  /**
   * Asks a VM for one of its retries; resolves with false also if the VM does not respond in time.
   */
  readonly askPeer: (address: string, service: string) => Promise<boolean>;
}

/** Borrows unused retries from other VMs, and lends retries to them. */
export interface RetryLender {
  /** Takes a retry from this VM's budget, or else borrows one from another VM. */
  acquireRetry(service: string): Promise<boolean>;
  /** Lends a retry to another VM; returns false if this VM may need its remaining ones. */
  lendRetry(service: string): boolean;
}

/** VMs that are asked one after the other. If half of all VMs can lend, 7 of 8 attempts succeed. */
const MAX_ASKED_PEERS = 3;

/** Fraction of its retry budget that a VM lends to others. */
const LENT_FRACTION = 0.5;

/**
 * Minimum number of retries that a VM lends, whatever the fraction. With hundreds of VMs each has
 * less than two retries, and half of that is none. A VM that has lent its retries can borrow
 * itself.
 */
const MIN_LENT_RETRIES = 2;

/**
 * Creates the retry lender of this VM.
 *
 * All VMs keep one bound together, each with its share. With 60 VMs a share is five retries per ten
 * seconds. When an availability zone fails, some VMs need more and most need none: without lending,
 * streams stalled for 4.5 to 6.5 s while most of the bound was unused. A lent retry counts at the
 * VM that lends it, so that the bound holds whatever VMs know of each other.
 */
export const createRetryLender = ({
  askPeer,
  pickPeers,
  log,
  meter,
  retries,
}: RetryLenderDependencies): RetryLender => ({
  acquireRetry: async (service) => {
    if (retries.acquireRetry(service)) return true;
    let asked = 0;
    for (const address of pickPeers(MAX_ASKED_PEERS)) {
      asked += 1;
      if (await askPeer(address, service)) {
        log.info('repeat borrowed', { service, peer: address, asked });
        meter.recordRetry(service, 'borrowed');
        return true;
      }
    }
    log.info('no repeat left', { service, asked, ...retries.listUse().get(service) });
    meter.recordRetry(service, 'refused');
    return false;
  },
  lendRetry: (service) => {
    const isLent = retries.acquireRetry(service, {
      share: LENT_FRACTION,
      minimum: MIN_LENT_RETRIES,
    });
    if (isLent) meter.recordRetry(service, 'lent');
    return isLent;
  },
});
