/**
 * Adds a value to an exponentially weighted moving average.
 *
 * @param average - the average so far; 0 means that there is none yet
 * @param value - the new value
 * @param weight - weight of the new value, 0 to 1
 */
export function updateMovingAverage(average: number, value: number, weight: number): number {
  return average === 0 ? value : average + weight * (value - average);
}
