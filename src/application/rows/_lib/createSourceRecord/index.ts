import type { Clock } from '../../../ports';

/** Remembers which VMs could not tell what the store holds. */
export interface SourceRecord {
  /** The VM did not answer: it is left out for a while. */
  recordFailure(vm: string): void;
  /** The VM answered that it knows nothing newer itself. */
  recordStale(vm: string): void;
  /** The VM told something that is young enough. */
  recordFresh(vm: string): void;
  /** Those of the VMs that may be asked. */
  filterUsable<T extends { readonly vm: string }>(vms: readonly T[]): readonly T[];
  /** So many VMs are cut off from the store at once that the store itself must be away. */
  isStoreAway(): boolean;
}

/** A VM that ended stays in the list of members for some seconds more. */
const FAILED_MS = 8000;

/** A VM cut off from the store is asked again after this time. */
const STALE_MS = 5000;

/**
 * With this many VMs cut off at once no further one is tried: VMs that ask the store in an outage
 * stay as few in a zone of thirty as in one of three.
 */
const AWAY_VMS = 2;

/** Creates the record; all VMs may be asked. */
export const createSourceRecord = (clock: Pick<Clock, 'readMonotonicMs'>): SourceRecord => {
  const failedUntilMs = new Map<string, number>();
  const staleUntilMs = new Map<string, number>();

  const dropOver = (times: Map<string, number>): void => {
    const nowMs = clock.readMonotonicMs();
    times.forEach((untilMs, vm) => {
      if (untilMs <= nowMs) times.delete(vm);
    });
  };

  const isStoreAway = (): boolean => {
    dropOver(staleUntilMs);
    return staleUntilMs.size >= AWAY_VMS;
  };

  return {
    recordFailure: (vm) => {
      failedUntilMs.set(vm, clock.readMonotonicMs() + FAILED_MS);
    },
    recordStale: (vm) => {
      staleUntilMs.set(vm, clock.readMonotonicMs() + STALE_MS);
    },
    recordFresh: (vm) => {
      staleUntilMs.delete(vm);
    },
    filterUsable: (vms) => {
      dropOver(failedUntilMs);
      const isAway = isStoreAway();
      return vms.filter(({ vm }) => !failedUntilMs.has(vm) && (isAway || !staleUntilMs.has(vm)));
    },
    isStoreAway,
  };
};
