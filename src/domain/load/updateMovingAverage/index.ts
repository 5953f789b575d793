/**
 * Updates an exponentially weighted moving average with a new value.
 *
 * @param average - the previous average; 0 if there is none
 * @param value - the new value
 * @param weight - weight of the new value, 0 to 1
 */
export function updateMovingAverage(average: number, value: number, weight: number): number {
  return average === 0 ? value : average + weight * (value - average);
}
