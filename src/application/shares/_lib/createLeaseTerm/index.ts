import type { Clock } from '../../../ports';
import { createSuspensionWatch } from '../../../time';

/** What one process holds of the bounds of all VMs, and until when. */
export interface LeaseTerm {
  /** Counts the parts that may be used now. */
  countUsable(): number;
  /** Counts the parts that are held now, also those that may not be used yet. */
  countHeld(): number;
  /** True if parts were held until the lease ended. */
  hasEnded(): boolean;
  /** Time until the parts may be used, in milliseconds. */
  readDelayMs(): number;
  /** Lets no part be used before this time. */
  updateUsableFrom(fromMs: number): void;
  /** Gives up what is more than this. */
  removeAbove(parts: number): void;
  /** Begins a new term with the call that took the parts. */
  start(parts: number, sentAtMs: number): void;
}

/** Creates a term without parts, of which none may be used before `usableFromMs`. */
export const createLeaseTerm = (
  clock: Pick<Clock, 'readMonotonicMs' | 'readWallMs'>,
  options: { readonly leaseMs: number; readonly usableFromMs: number },
): LeaseTerm => {
  const suspensions = createSuspensionWatch(clock);
  let { usableFromMs } = options;
  let parts = 0;
  let heldSinceMs = -Infinity;

  /** The monotonic clock does not count a suspension, in which the lease may have ended. */
  const isHeld = (): boolean =>
    clock.readMonotonicMs() < heldSinceMs + options.leaseMs &&
    suspensions.readSuspendedBeforeMs() <= heldSinceMs;

  const readDelayMs = (): number => Math.max(0, usableFromMs - clock.readMonotonicMs());
  const countHeld = (): number => (isHeld() ? parts : 0);

  return {
    countHeld,
    countUsable: () => (readDelayMs() > 0 ? 0 : countHeld()),
    hasEnded: () => parts > 0 && !isHeld(),
    readDelayMs,
    updateUsableFrom: (fromMs) => {
      usableFromMs = fromMs;
    },
    removeAbove: (most) => {
      parts = Math.min(parts, most);
    },
    start: (next, sentAtMs) => {
      parts = next;
      heldSinceMs = sentAtMs;
    },
  };
};
