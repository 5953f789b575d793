import type { Clock } from '../../../ports';

/** Tracks which VMs are currently unusable as a source of the store's rows. */
export interface SourceTracker {
  /** Records that the VM did not answer, which excludes it for a while. */
  recordFailure(vm: string): void;
  /** Records that the VM's rows are too old; `isCutOff`: because its calls to the store fail. */
  recordStale(vm: string, isCutOff: boolean): void;
  /** Records that the VM's rows are fresh enough. */
  recordFresh(vm: string): void;
  /** Returns the VMs that may be used as a source. */
  filterUsable<T extends { readonly vm: string }>(vms: readonly T[]): readonly T[];
  /** Whether the VM was recently cut off from the store. */
  isCutOff(vm: string): boolean;
  /** Whether enough VMs are cut off at once to conclude that the store itself is unavailable. */
  isStoreUnavailable(): boolean;
}

/** A VM that ended stays in the list of members for some more seconds. */
const FAILED_EXCLUSION_MS = 8000;

/** A VM cut off from the store is tried again after this time. */
const CUT_OFF_EXCLUSION_MS = 5000;

/** Short, since a VM that has just begun to follow the store will soon have fresh rows. */
const STALE_EXCLUSION_MS = 300;

/**
 * With this many VMs cut off at once, cut-off VMs are no longer excluded and no further VM tries
 * the store. This keeps the calls in an outage as few in a zone of thirty VMs as in one of three.
 */
const STORE_OUTAGE_VMS = 3;

/** Creates a source tracker; at first every VM is usable. */
export const createSourceTracker = (clock: Pick<Clock, 'readMonotonicMs'>): SourceTracker => {
  const failedUntilMs = new Map<string, number>();
  const staleUntilMs = new Map<string, number>();
  const cutOffUntilMs = new Map<string, number>();

  const dropExpired = (times: Map<string, number>): void => {
    const nowMs = clock.readMonotonicMs();
    times.forEach((untilMs, vm) => {
      if (untilMs <= nowMs) times.delete(vm);
    });
  };

  const isStoreUnavailable = (): boolean => {
    dropExpired(cutOffUntilMs);
    return cutOffUntilMs.size >= STORE_OUTAGE_VMS;
  };

  return {
    recordFailure: (vm) => {
      failedUntilMs.set(vm, clock.readMonotonicMs() + FAILED_EXCLUSION_MS);
    },
    recordStale: (vm, isCutOff) => {
      const [times, durationMs] = isCutOff
        ? [cutOffUntilMs, CUT_OFF_EXCLUSION_MS]
        : [staleUntilMs, STALE_EXCLUSION_MS];
      times.set(vm, clock.readMonotonicMs() + durationMs);
    },
    recordFresh: (vm) => {
      staleUntilMs.delete(vm);
      cutOffUntilMs.delete(vm);
    },
    isCutOff: (vm) => {
      dropExpired(cutOffUntilMs);
      return cutOffUntilMs.has(vm);
    },
    filterUsable: (vms) => {
      dropExpired(failedUntilMs);
      dropExpired(staleUntilMs);
      const isUnavailable = isStoreUnavailable();
      const isExcluded = (vm: string): boolean => staleUntilMs.has(vm) || cutOffUntilMs.has(vm);
      return vms.filter(({ vm }) => !failedUntilMs.has(vm) && (isUnavailable || !isExcluded(vm)));
    },
    isStoreUnavailable,
  };
};
