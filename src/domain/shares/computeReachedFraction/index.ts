/**
 * Computes which part of a bound of all VMs those may use together that this VM reaches.
 *
 * The VMs on each side of a cut know only each other. The ledger names those of all sides until their
 * leases end, so that the parts of all sides add up to the whole.
 *
 * @param holders - VMs that the ledger names
 * @param reached - VMs that this one knows, itself included
 * @returns 0 to 1; 1 if the ledger names none
 *
 * @example
 * computeReachedFraction(['a', 'b', 'c', 'd'], new Set(['a', 'e'])); // 0.25
 */
export const computeReachedFraction = (
  holders: readonly string[],
  reached: ReadonlySet<string>,
): number =>
  holders.length === 0
    ? 1
    : holders.filter((holder) => reached.has(holder)).length / holders.length;
