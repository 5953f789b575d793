import type { ShareHolding, ShareLedger } from '../types';

/** A single VM leaves as much to others, which may not be known yet. */
const MIN_VMS = 2;

/** Inputs of an allotment; times in milliseconds on the monotonic clock of the store. */
export interface AllotmentOptions {
  /** Null if the store has none. */
  readonly ledger: ShareLedger | null;
  /** True if the store must have had a ledger before. */
  readonly isLedgerExpected: boolean;
  readonly self: Pick<ShareHolding, 'holder' | 'incarnation'>;
  /** Parts that this process may use now. */
  readonly usedParts: number;
  /** Era of the store. */
  readonly era: number;
  readonly nowStoreMs: number;
  /** Parts that the bounds are divided into. */
  readonly totalParts: number;
  /** Number of VMs that this one knows, itself included. */
  readonly vms: number;
  /** Time for which parts are held. */
  readonly leaseMs: number;
  /** Time after which parts that nobody holds any more may be used by another VM. */
  readonly cooldownMs: number;
}

/** The ledger to be written, and what it gives to this VM. */
export interface Allotment {
  readonly ledger: ShareLedger;
  readonly parts: number;
  /** True if this VM was in the ledger that was read. */
  readonly wasHolder: boolean;
  /** True if an earlier process of this VM may have used the parts a moment ago. */
  readonly isInherited: boolean;
  /** True if the store lost newer ledgers, or all. */
  readonly isRestored: boolean;
}

/** Computes the even part of a VM among this many. */
export const computeEvenParts = (totalParts: number, vms: number): number =>
  Math.ceil(totalParts / Math.max(MIN_VMS, vms));

const sumParts = (holdings: readonly ShareHolding[]): number =>
  holdings.reduce((sum, { parts }) => sum + parts, 0);

/**
 * Allots a VM its part of the bounds of all VMs, for one lease.
 *
 * What a VM held, or gives back, goes to no other one until it was unused for the cooldown. So the
 * parts that are used within any time of that length never exceed the whole, whatever VMs know of
 * each other; only how evenly they are divided depends on that.
 *
 * @returns the ledger to be written in place of the one that was read, and this VM's parts in it
 */
export const allotShare = ({
  cooldownMs,
  era,
  isLedgerExpected,
  leaseMs,
  ledger,
  nowStoreMs,
  self,
  totalParts,
  usedParts,
  vms,
}: AllotmentOptions): Allotment => {
  const reserved = (ledger?.holdings ?? []).filter(
    ({ untilStoreMs }) => untilStoreMs + cooldownMs >= nowStoreMs,
  );
  const own = reserved.find(({ holder }) => holder === self.holder) ?? null;
  const others = reserved.filter((holding) => holding !== own);
  const holders = others.filter(
    ({ holder, untilStoreMs }) => holder !== '' && untilStoreMs >= nowStoreMs,
  );
  // In a store that was restored from a backup the newest holdings are missing.
  const isRestored = ledger === null ? isLedgerExpected : ledger.era !== era;
  const closedUntilStoreMs = isRestored
    ? nowStoreMs + leaseMs + cooldownMs
    : (ledger?.closedUntilStoreMs ?? 0);
  const isInherited = own !== null && own.incarnation !== self.incarnation;
  const held = isRestored ? usedParts : (own?.parts ?? 0);
  const target = computeEvenParts(totalParts, Math.max(vms, holders.length + 1));
  const free = nowStoreMs < closedUntilStoreMs ? 0 : totalParts - sumParts(reserved);
  const parts = Math.min(target, held + Math.max(0, free));
  const returned = (own?.parts ?? 0) - parts;
  return {
    parts,
    wasHolder: own !== null,
    isInherited,
    isRestored,
    ledger: {
      era,
      closedUntilStoreMs,
      holdings: [
        ...others,
        ...(returned > 0
          ? [{ holder: '', incarnation: '', parts: returned, untilStoreMs: nowStoreMs }]
          : []),
        { ...self, parts, untilStoreMs: nowStoreMs + leaseMs },
      ],
    },
  };
};
