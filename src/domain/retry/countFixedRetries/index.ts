/**
 * Fraction of the fixed part of the bound that is used: what a VM sent before it was killed may arrive
 * after another VM uses its part.
 */
const USED_FRACTION = 0.95;

/**
 * Counts the retries that all VMs together may send in each window, whatever their requests.
 *
 * @param bounds.retryExtra - fixed part of the bound
 *
 * @example
 * countFixedRetries({ retryExtra: 150 }); // 142
 */
export const countFixedRetries = ({ retryExtra }: { readonly retryExtra: number }): number =>
  Math.floor(USED_FRACTION * retryExtra);
