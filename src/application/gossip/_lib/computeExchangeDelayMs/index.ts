/**
 * Interval between exchanges with a random VM. The rows come from the store; those learned by
 * gossip are needed only while the store does not answer this VM.
 */
const INTERVAL_MS = 1500;

/** The same while the store does not answer, so that a change arrives within a second or two. */
const INTERVAL_IN_OUTAGE_MS = 300;

/**
 * Computes the time until the next exchange, within a quarter of the interval.
 *
 * @param options.isCutOff - whether the store does not answer this VM
 * @param options.fraction - random number from 0 to 1
 */
export const computeExchangeDelayMs = ({
  fraction,
  isCutOff,
}: {
  readonly fraction: number;
  readonly isCutOff: boolean;
}): number => (isCutOff ? INTERVAL_IN_OUTAGE_MS : INTERVAL_MS) * (0.75 + fraction / 2);
