import type { Clock } from '../../../ports';

/** Remembers which VMs could not tell what the store holds. */
export interface SourceTracker {
  /** The VM did not answer: it is left out for a while. */
  recordFailure(vm: string): void;
  /** The VM knows nothing young itself; `isCutOff`: as the store does not answer it. */
  recordStale(vm: string, isCutOff: boolean): void;
  /** The VM told something that is young enough. */
  recordFresh(vm: string): void;
  /** Those of the VMs that may be asked. */
  filterUsable<T extends { readonly vm: string }>(vms: readonly T[]): readonly T[];
  /** Whether the VM was cut off from the store a moment ago. */
  isCutOff(vm: string): boolean;
  /** So many VMs are cut off from the store at once that the store itself must be away. */
  isStoreUnavailable(): boolean;
}

/** A VM that ended stays in the list of members for some seconds more. */
const FAILED_MS = 8000;

/** A VM cut off from the store is asked again after this time. */
const CUT_OFF_MS = 5000;

/** One that has only just begun to follow the store will soon know more. */
const STALE_MS = 300;

/**
 * With this many VMs cut off at once no further one is tried: VMs that ask the store in an outage
 * stay as few in a zone of thirty as in one of three.
 */
const AWAY_VMS = 3;

/** Creates the record; all VMs may be asked. */
export const createSourceTracker = (clock: Pick<Clock, 'readMonotonicMs'>): SourceTracker => {
  const failedUntilMs = new Map<string, number>();
  const staleUntilMs = new Map<string, number>();
  const cutOffUntilMs = new Map<string, number>();

  const dropOver = (times: Map<string, number>): void => {
    const nowMs = clock.readMonotonicMs();
    times.forEach((untilMs, vm) => {
      if (untilMs <= nowMs) times.delete(vm);
    });
  };

  const isStoreAway = (): boolean => {
    dropOver(cutOffUntilMs);
    return cutOffUntilMs.size >= AWAY_VMS;
  };

  return {
    recordFailure: (vm) => {
      failedUntilMs.set(vm, clock.readMonotonicMs() + FAILED_MS);
    },
    recordStale: (vm, isCutOff) => {
      const [times, lastsMs] = isCutOff ? [cutOffUntilMs, CUT_OFF_MS] : [staleUntilMs, STALE_MS];
      times.set(vm, clock.readMonotonicMs() + lastsMs);
    },
    recordFresh: (vm) => {
      staleUntilMs.delete(vm);
      cutOffUntilMs.delete(vm);
    },
    isCutOff: (vm) => {
      dropOver(cutOffUntilMs);
      return cutOffUntilMs.has(vm);
    },
    filterUsable: (vms) => {
      dropOver(failedUntilMs);
      dropOver(staleUntilMs);
      const isAway = isStoreAway();
      const isLeftOut = (vm: string): boolean => staleUntilMs.has(vm) || cutOffUntilMs.has(vm);
      return vms.filter(({ vm }) => !failedUntilMs.has(vm) && (isAway || !isLeftOut(vm)));
    },
    isStoreUnavailable: isStoreAway,
  };
};
