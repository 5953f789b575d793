import { findFifthCrashMs } from '../findFifthCrashMs';

/** Time that VMs may take to learn of a crash, in milliseconds. */
export const CONTACT_MS = 3000;

/**
 * Counts the requests with a prompt part that reached servers long after its fifth crash.
 *
 * @param crashedAtMs - times of the crashes under the part, in order
 * @param arrivedAtMs - times at which requests with it reached servers
 */
export const countLateArrivals = (
  crashedAtMs: readonly number[],
  arrivedAtMs: readonly number[],
): number => {
  const fromMs = findFifthCrashMs(crashedAtMs) + CONTACT_MS;
  return arrivedAtMs.filter((atMs) => atMs > fromMs).length;
};
