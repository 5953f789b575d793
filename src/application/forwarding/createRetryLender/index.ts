import type { EventLog } from '../../ports';
import type { RetryBudget } from '../createRetryBudget';

/** What a lender needs. */
export interface RetryLenderDependencies {
  readonly retries: RetryBudget;
  readonly log: EventLog;
  /** Addresses of some other VMs, drawn at random. */
  readonly pickPeers: (count: number) => readonly string[];
  /** Asks a VM for one of its repeats; false also if it does not answer in time. */
  readonly askPeer: (address: string, service: string) => Promise<boolean>;
}

/** Takes repeats that other VMs have left, and gives them some. */
export interface RetryLender {
  /** Takes a repeat: an own one, or one that another VM lends. */
  acquireRetry(service: string): Promise<boolean>;
  /** Gives one to another VM; false if this VM may need those that it has left. */
  lendRetry(service: string): boolean;
}

/** VMs that are asked, one after the other: with half of them able to lend, 7 of 8 borrow. */
const ASKED_PEERS = 3;

/** Part of its repeats that a VM uses up for others. */
const LENT_PART = 0.5;

/**
 * Repeats that a VM lends whatever part of its own they are: with hundreds of VMs each has less than
 * two, and half of that is none. It may borrow itself.
 */
const LEAST_LENT = 2;

/**
 * Creates the lender of this VM.
 *
 * All VMs keep one bound together, each with its part of it. With 60 VMs a part is five repeats in
 * ten seconds, and when an availability zone is lost some VMs need more and most need none: streams
 * stood still for 4.5 to 6.5 s with most of the bound unused. What is lent counts at the VM that lends
 * it, so that the bound holds whatever is known of others.
 */
export const createRetryLender = ({
  askPeer,
  pickPeers,
  log,
  retries,
}: RetryLenderDependencies): RetryLender => ({
  acquireRetry: async (service) => {
    if (retries.acquireRetry(service)) return true;
    let asked = 0;
    for (const address of pickPeers(ASKED_PEERS)) {
      asked += 1;
      if (await askPeer(address, service)) {
        log.info('repeat borrowed', { service, peer: address, asked });
        return true;
      }
    }
    log.info('no repeat left', { service, asked });
    return false;
  },
  lendRetry: (service) => retries.acquireRetry(service, { part: LENT_PART, least: LEAST_LENT }),
});
