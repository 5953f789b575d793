import { sum } from 'simple-statistics';
import {
  allotShare,
  computeEvenParts,
  encodeShareLedger,
  type Allotment,
  type ShareLedger,
} from '../../../domain/shares';
import type { Clock, EventLog, Randomness, RowSource, RowWriter } from '../../ports';
import { startLoop } from '../../time';
import { createLeaseTerm } from '../_lib/createLeaseTerm';
import { LEDGER_KEY, readShareLedger, type ReadLedger } from '../_lib/readShareLedger';

/** Dependencies of the lease. */
export interface ShareLeaseDependencies {
  /** Name of this VM. */
  readonly vm: string;
  /** True if no VM can have used the bounds a moment ago. */
  readonly isFirstStart: boolean;
  /** Time after which what one VM used of the bounds may be used by another one. */
  readonly cooldownMs: number;
  /** Parts that the bounds are divided into; the same at all VMs. */
  readonly totalParts: number;
  readonly table: string;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  /** Number of VMs that this one knows, itself included. */
  readonly countVms: () => number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** This VM's part of the bounds that all VMs keep together. */
export interface ShareLease {
  start(): void;
  stop(): void;
  /** Counts the parts that this VM may use now; those of all VMs never exceed the whole. */
  countParts(): number;
  /** Lists the VMs whose leases the ledger names and that have not ended, as far as known. */
  listHolders(): readonly string[];
  /**
   * Claims a part at once if this VM has not yet and could use it.
   *
   * @returns the end of that claim; null if there is none to wait for
   */
  claimNow(): Promise<void> | null;
}

/** Time for which a part is held without a renewal. */
const LEASE_MS = 120_000;

/** Time until the renewal; VMs that started together do not renew together. */
const RENEWAL = { minMs: 50_000, spreadMs: 20_000 } as const;

/** A VM that has just started knows few others, and all may start at once. */
const FIRST_CLAIM = { delayMs: 1000, spreadMs: 4000 } as const;

/** Delay after a failed call, which grows with each further one: other VMs may write as well. */
const RETRY = { baseMs: 200, maxMs: 8000 } as const;

/** Interval at which the lease is checked for a renewal before its time. */
const CHECK_INTERVAL_MS = 5000;

/** A VM that holds this many times its even part gives some back before its next renewal. */
const MAX_EXCESS = 1.5;

/** A VM that holds parts, and until when. */
interface KnownHolder {
  readonly name: string;
  readonly untilMs: number;
}

/**
 * Creates the lease of this VM on its part of the bounds of all VMs.
 *
 * Parts are held in one row of the shared store, which is changed only if no other VM has changed it
 * since it was read. A VM that is cut off from the store keeps its part until the lease ends, and
 * then has none. Without a part it can still borrow from others.
 */
export const createShareLease = ({
  clock,
  cooldownMs,
  countVms,
  isFirstStart,
  log,
  randomness,
  store,
  table,
  totalParts,
  vm: holder,
}: ShareLeaseDependencies): ShareLease => {
  const incarnation = randomness.readHex(4);
  const startedAtMs = clock.readMonotonicMs();
  // An earlier process of this VM may have used its part until just before this one started.
  const usableFromMs = isFirstStart ? startedAtMs : startedAtMs + cooldownMs;
  const term = createLeaseTerm(clock, { leaseMs: LEASE_MS, usableFromMs });
  /** Whether the store must have had a ledger before. */
  let isLedgerExpected = !isFirstStart;
  let knownHolders: readonly KnownHolder[] = [];
  let renewalAtMs = -Infinity;
  let failures = 0;
  let isStopped = false;
  let isFirstClaimDue = false;
  let endFirstClaim = (): void => undefined;
  /** Ends with the first claim; null if its part could not be used, and once it has ended. */
  let firstClaim = isFirstStart
    ? new Promise<void>((resolve) => {
        endFirstClaim = resolve;
      })
    : null;
  let stopLoop = (): void => undefined;

  const isRenewalDue = (): boolean =>
    clock.readMonotonicMs() >= renewalAtMs ||
    term.hasEnded() ||
    term.countHeld() > MAX_EXCESS * computeEvenParts(totalParts, countVms());

  const scheduleRenewal = (): null => {
    renewalAtMs =
      clock.readMonotonicMs() + RENEWAL.minMs + RENEWAL.spreadMs * randomness.readFraction();
    return null;
  };

  const computeAllotment = ({ era, ledger, storeMs }: ReadLedger): Allotment =>
    allotShare({
      ledger,
      isLedgerExpected,
      self: { holder, incarnation },
      usedParts: term.countHeld(),
      era,
      nowStoreMs: storeMs,
      totalParts,
      vms: countVms(),
      leaseMs: LEASE_MS,
      cooldownMs,
    });

  const recordHolders = ({ holdings }: ShareLedger, storeMs: number): void => {
    const nowMs = clock.readMonotonicMs();
    knownHolders = holdings
      .filter((holding) => holding.holder !== '')
      .map((holding) => ({
        name: holding.holder,
        untilMs: nowMs + holding.untilStoreMs - storeMs,
      }));
  };

  const logHeld = ({ isRestored, ledger: { holdings }, parts }: Allotment): void =>
    log.info('share of bounds held', {
      parts,
      vms: countVms(),
      holders: holdings.length,
      allotted: sum(holdings.map((holding) => holding.parts)),
      isRestored,
      usableInMs: Math.round(term.readDelayMs()),
    });

  /** Renews the lease; resolves with the reason of a failure, or null. */
  const renew = async (): Promise<string | null> => {
    const sentAtMs = clock.readMonotonicMs();
    const read = await readShareLedger(store, table);
    if (typeof read === 'string') return read;
    const allotment = computeAllotment(read);
    if (read.ledger) isLedgerExpected = true;
    recordHolders(allotment.ledger, read.storeMs);
    if (allotment.isInherited) term.updateUsableFrom(startedAtMs + cooldownMs);
    // In a large fleet all parts may be held by others; a VM without any is in no ledger.
    const isWritten = allotment.parts > 0 || allotment.wasHolder || allotment.isRestored;
    if (!isWritten) return scheduleRenewal();
    // What is given back must not be used from the moment at which the store may have it.
    term.removeAbove(allotment.parts);
    const written = await store.changeRows({
      table,
      writes: [{ key: LEDGER_KEY, value: encodeShareLedger(allotment.ledger) }],
      removed: [],
      expected: [{ key: LEDGER_KEY, version: read.version }],
    });
    if (written.isErr()) return `write: ${written.error.kind}`;
    isLedgerExpected = true;
    term.start(allotment.parts, sentAtMs);
    logHeld(allotment);
    return scheduleRenewal();
  };

  const handleFailure = (reason: string): number => {
    const limitMs = Math.min(RETRY.maxMs, RETRY.baseMs * 2 ** failures);
    failures += 1;
    log.info('share of bounds not renewed', { reason, failures, parts: term.countUsable() });
    return limitMs * (0.5 + randomness.readFraction() / 2);
  };

  const runStep = async (): Promise<number> => {
    isFirstClaimDue = false;
    const reason = isRenewalDue() ? await renew() : null;
    endFirstClaim();
    firstClaim = null;
    if (reason !== null) return handleFailure(reason);
    failures = 0;
    return CHECK_INTERVAL_MS;
  };

  const startRenewals = (firstDelayMs: number): void => {
    if (!isStopped) stopLoop = startLoop({ clock, firstDelayMs, handleFailure, runStep });
  };

  return {
    start: () => {
      startRenewals(FIRST_CLAIM.delayMs + FIRST_CLAIM.spreadMs * randomness.readFraction());
      isFirstClaimDue = isFirstStart;
    },
    stop: () => {
      isStopped = true;
      isFirstClaimDue = false;
      stopLoop();
    },
    countParts: term.countUsable,
    listHolders: () =>
      knownHolders
        .filter(({ untilMs }) => untilMs > clock.readMonotonicMs())
        .map(({ name }) => name),
    claimNow: () => {
      if (isFirstClaimDue) {
        stopLoop();
        runStep()
          .catch((error: unknown) => handleFailure(String(error)))
          .then(startRenewals);
      }
      return firstClaim;
    },
  };
};
