/** How many new connections a VM reads. */
export interface AdmittedRate {
  /** Limit in force, per second; infinite if there is none. */
  readonly limitPerS: number;
  /** Limit to which the VM returns once it is in time again. */
  readonly targetPerS: number;
}

/** New connections of a VM since the last time. */
export interface AdmittedSample {
  /** Connections per second that were read. */
  readonly admittedPerS: number;
  /** Whether the VM does its work too late. */
  readonly isLate: boolean;
}

/** Part of the rate at which a VM became late to which it returns. */
const DECREASE_FACTOR = 0.6;

const INCREASE_FACTOR = 1.08;

/**
 * A VM reads this many connections per second however late it is: with so few it is late for another
 * reason, and all VMs may be.
 */
const MIN_PER_S = 20;

/** The rate of a VM that has not been late. */
export const UNLIMITED_RATE: AdmittedRate = { limitPerS: Infinity, targetPerS: Infinity };

/**
 * Computes how many new connections per second a VM reads from now on.
 *
 * A VM that becomes late reads few until it is in time again, then fewer than before, and
 * gradually more from there.
 *
 * @example
 * computeAdmittedRate(UNLIMITED_RATE, { admittedPerS: 100, isLate: true });
 * // => { limitPerS: 20, targetPerS: 60 }
 */
export const computeAdmittedRate = (
  { limitPerS, targetPerS }: AdmittedRate,
  { admittedPerS, isLate }: AdmittedSample,
): AdmittedRate => {
  if (!isLate) {
    const nextPerS = Math.max(targetPerS, limitPerS) * INCREASE_FACTOR;
    return { limitPerS: nextPerS, targetPerS: nextPerS };
  }
  if (limitPerS < targetPerS) return { limitPerS, targetPerS };
  const rate = Math.min(limitPerS, admittedPerS) * DECREASE_FACTOR;
  return { limitPerS: MIN_PER_S, targetPerS: Math.max(MIN_PER_S, rate) };
};
