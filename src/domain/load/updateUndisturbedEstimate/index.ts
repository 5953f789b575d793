const DOWN_WEIGHT = 0.4;

/** Lets the estimate grow to a tenfold time within some hundred values, if all values grow. */
const UP_WEIGHT = 0.03;

/**
 * Adds a value to an estimate of what a duration is when nothing disturbs it.
 *
 * Disturbances (a queue that was not known of, a pause of this VM) only ever lengthen a duration,
 * so that a lower value says more than a higher one. A plain mean made the best servers look bad
 * after one burst, and sent work to slower ones.
 *
 * @param estimate - the estimate so far; 0 means that there is none yet
 * @param value - the new duration, in any unit
 */
export function updateUndisturbedEstimate(estimate: number, value: number): number {
  if (estimate === 0) return value;
  const weight = value < estimate ? DOWN_WEIGHT : UP_WEIGHT;
  return estimate + weight * (value - estimate);
}
