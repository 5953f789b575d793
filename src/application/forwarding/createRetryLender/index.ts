import type { Clock, EventLog, Randomness } from '../../ports';
import { waitDelay } from '../../time';
import type { RetryBudget, RetryOptions } from '../createRetryBudget';
import { UNREAD_TTL_MS } from '../createUnreadAttempts';
import type { Retry, RetryMeter, RetryRequest, RetryReturn } from '../types';

/** Dependencies of the retry lender. */
export interface RetryLenderDependencies {
  readonly clock: Pick<Clock, 'startTimer'>;
  readonly retries: RetryBudget;
  /** Claims this VM's part of the fixed retries; null if there is no claim to wait for. */
  readonly claimShare?: () => Promise<void> | null;
  readonly log: EventLog;
  readonly meter: RetryMeter;
  /** Picks the addresses of some other VMs at random. */
  readonly pickPeers: (count: number) => readonly string[];
  /** Asks a VM for one of its retries; resolves with null if the VM does not respond in time. */
  readonly askPeer: (address: string, request: RetryRequest) => Promise<boolean | null>;
  /** Tells a VM what became of a retry that it lent; best effort. */
  readonly notifyReturned: (address: string, returned: RetryReturn) => void;
  readonly randomness: Pick<Randomness, 'readHex'>;
}

/** Borrows unused retries from other VMs, and lends retries to them. */
export interface RetryLender {
  /** Takes a retry from this VM's budget, or else borrows one from another VM; null if none is left. */
  acquireRetry(service: string): Promise<Retry | null>;
  /** Takes a retry from this VM's budget only; null if none is left. */
  acquireOwnRetry(service: string, options?: RetryOptions): Promise<Retry | null>;
  /** Lends a retry to another VM; returns false if this VM may need its remaining ones. */
  lendRetry(request: RetryRequest): boolean;
  /** Records what became of a lent retry. */
  handleReturned(returned: RetryReturn): void;
}

/** A request waits this long for the first claim of its VM. */
const CLAIM_TIMEOUT_MS = 100;

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

/** Time after which a lent retry counts as arrived at a VM that returns none. */
const UNRETURNED_ARRIVAL_MS = 1000;

/** Length of the id of a lent retry, in bytes. */
const ID_BYTES = 8;

/**
 * Creates the retry lender of this VM.
 *
 * All VMs keep one bound together, each with its share. With 60 VMs a share is five retries per ten
 * seconds. When an availability zone fails, some VMs need more and most need none: without lending,
 * streams stalled for 4.5 to 6.5 s while most of the bound was unused. A lent retry counts at the
 * VM that lends it, until the one that borrowed it tells what became of it, so that the bound holds
 * whatever VMs know of each other.
 */
export const createRetryLender = ({
  askPeer,
  claimShare = () => null,
  clock,
  log,
  meter,
  notifyReturned,
  pickPeers,
  randomness,
  retries,
}: RetryLenderDependencies): RetryLender => {
  const acquireOwnRetry: RetryLender['acquireOwnRetry'] = async (service, options) => {
    const retry = retries.acquireRetry(service, options);
    const claim = retry ? null : claimShare();
    if (!claim) return retry;
    await Promise.race([claim, waitDelay(clock, CLAIM_TIMEOUT_MS)]);
    return retries.acquireRetry(service, options);
  };
  /** Retries that other VMs use, by id. */
  const lentById = new Map<string, Retry>();

  const closeLent = (id: string, close: (retry: Retry) => void): void => {
    const lent = lentById.get(id);
    lentById.delete(id);
    if (lent) close(lent);
  };

  const buildBorrowed = (address: string, id: string): Retry => {
    let isOpen = true;
    const closeRetry = (isUnused: boolean): void => {
      if (isOpen) notifyReturned(address, { id, isUnused });
      isOpen = false;
    };
    return { release: () => closeRetry(true), finish: () => closeRetry(false) };
  };

  const acquireFrom = async (address: string, service: string): Promise<Retry | null> => {
    const id = randomness.readHex(ID_BYTES);
    const isLent = await askPeer(address, { service, id });
    const retry = buildBorrowed(address, id);
    // The VM may have lent it all the same.
    if (isLent === null) retry.release();
    return isLent ? retry : null;
  };

  return {
    acquireOwnRetry,
    acquireRetry: async (service) => {
      const own = await acquireOwnRetry(service);
      if (own) return own;
      let asked = 0;
      for (const address of pickPeers(MAX_ASKED_PEERS)) {
        asked += 1;
        const borrowed = await acquireFrom(address, service);
        if (borrowed) {
          log.info('repeat borrowed', { service, peer: address, asked });
          meter.recordRetry(service, 'borrowed');
          return borrowed;
        }
      }
      log.info('no repeat left', { service, asked, ...retries.listUse().get(service) });
      meter.recordRetry(service, 'refused');
      return null;
    },
    handleReturned: ({ id, isUnused }) =>
      closeLent(id, isUnused ? (lent) => lent.release() : (lent) => lent.finish()),
    lendRetry: ({ id, service }) => {
      const lent = retries.acquireRetry(service, {
        share: LENT_FRACTION,
        minimum: MIN_LENT_RETRIES,
      });
      if (!lent) return false;
      if (id === '') clock.startTimer(UNRETURNED_ARRIVAL_MS, lent.finish);
      else {
        lentById.set(id, lent);
        clock.startTimer(UNREAD_TTL_MS, () => closeLent(id, (one) => one.finish()));
      }
      meter.recordRetry(service, 'lent');
      return true;
    },
  };
};
