import { err } from 'neverthrow';
import {
  createRetryBudget,
  createRetryLender,
  createUnreadAttempts,
  type RetryBudget,
  type RetryLender,
  type UnreadAttempts,
} from '../../../../src/application/forwarding';
import type { Clock, Randomness, RowSource, RowWriter } from '../../../../src/application/ports';
import { createShareLease, type ShareLease } from '../../../../src/application/shares';
import { createArrivalDating, type ArrivalDating } from '../../../../src/application/time';
import { countFixedRetries } from '../../../../src/domain/retry';
import { NO_RETRY_METER, QUIET_LOG } from '../../../fakes';
import { createVmClock, type VmClock } from '../../../rows';

/** A VM with its part of the bounds. */
export interface RetryVm {
  readonly name: string;
  readonly retries: RetryBudget;
  readonly lender: RetryLender;
  readonly share: ShareLease;
  readonly unread: UnreadAttempts;
  /** Dates requests, which wait unread while the VM stands still. */
  readonly dating: ArrivalDating;
  readonly clock: VmClock;
  isAlive: boolean;
  isCutFromStore: boolean;
  /** VMs of another side are neither counted nor asked. */
  side: number;
  isSuspended: boolean;
  /** A VM that stands still reads its requests when it goes on. */
  isStanding: boolean;
}

/** What a VM is created with. */
export interface RetryVmOptions {
  readonly name: string;
  readonly isFirstStart: boolean;
  readonly world: Clock;
  readonly randomness: Randomness;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  /** Tells of a change that the store has made whether its answer is lost. */
  readonly isAnswerLost: () => boolean;
  /** Lists the other VMs that this one reaches. */
  readonly listPeers: (self: RetryVm) => readonly RetryVm[];
}

/** Bounds of all VMs together. */
export const BOUNDS = { retryRatio: 0.8, retryWindowMs: 10_000, retryExtra: 150 };

/** Time after which what one VM used may be used by another one. */
const COOLDOWN_MS = 13_000;

const CUT = err({ kind: 'unavailable', reason: 'cut' } as const);

/** Creates a VM that runs from now on. */
export const createRetryVm = ({
  isAnswerLost,
  isFirstStart,
  listPeers,
  name,
  randomness,
  store,
  world,
}: RetryVmOptions): RetryVm => {
  const clock = createVmClock(world);
  // Bound to this process: one that starts again under the same name is another one.
  const process = { current: null as RetryVm | null };
  const self = (): RetryVm => process.current as RetryVm;
  const isCut = (): boolean => self().isCutFromStore || !self().isAlive;
  const findPeer = (peer: string): RetryVm | undefined =>
    listPeers(self()).find((vm) => vm.name === peer);
  const share = createShareLease({
    vm: name,
    isFirstStart,
    cooldownMs: COOLDOWN_MS,
    totalParts: countFixedRetries(BOUNDS),
    table: 'shares',
    store: {
      readRows: async (table, options, signal) =>
        isCut() ? CUT : store.readRows(table, options, signal),
      changeRows: async (changes) => {
        if (isCut()) return CUT;
        const written = await store.changeRows(changes);
        return isAnswerLost() ? CUT : written;
      },
    },
    countVms: () => listPeers(self()).length + 1,
    clock,
    randomness,
    log: QUIET_LOG,
  });
  const retries = createRetryBudget({
    bounds: BOUNDS,
    clock,
    meter: NO_RETRY_METER,
    countFixed: share.countParts,
  });
  const lender = createRetryLender({
    clock,
    retries,
    log: QUIET_LOG,
    meter: NO_RETRY_METER,
    pickPeers: (count) => {
      const peers = listPeers(self());
      return Array.from(
        { length: count },
        () => peers[Math.floor(randomness.readFraction() * peers.length)]?.name ?? '',
      );
    },
    askPeer: async (peer, request) => findPeer(peer)?.lender.lendRetry(request) ?? null,
    notifyReturned: (peer, returned) => findPeer(peer)?.lender.handleReturned(returned),
    randomness,
  });
  process.current = {
    ...{ clock, name, retries, lender, share },
    unread: createUnreadAttempts({ clock, log: QUIET_LOG }),
    dating: createArrivalDating(clock),
    ...{ isAlive: true, isCutFromStore: false, isSuspended: false, isStanding: false, side: 0 },
  };
  share.start();
  return process.current;
};
