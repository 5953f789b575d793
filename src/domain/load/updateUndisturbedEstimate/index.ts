/** Weight of a value below the estimate. */
const DOWN_WEIGHT = 0.4;

/**
 * Weight of a value above the estimate; adapts to a tenfold duration within some hundred values.
 */
const UP_WEIGHT = 0.03;

/**
 * Updates the estimate of an undisturbed duration with a new sample.
 *
 * Disturbances (an unknown queue, a pause of this VM) only lengthen a duration, so that a low
 * sample says more than a high one. With a plain mean, the best servers looked bad after one burst,
 * and work went to slower ones.
 *
 * @param estimate - the previous estimate; 0 if there is none
 * @param value - the new duration, in any unit
 */
export function updateUndisturbedEstimate(estimate: number, value: number): number {
  if (estimate === 0) return value;
  const weight = value < estimate ? DOWN_WEIGHT : UP_WEIGHT;
  return estimate + weight * (value - estimate);
}
