/**
 * Computes the expected fraction of the requests in a load report that are still running.
 *
 * @param ageMs - age of the report, in milliseconds
 * @param holdMs - mean time for which a request stays on the server, in milliseconds; 0 if unknown
 * @returns 0 to 1; 1 if the hold time is unknown
 */
export function computeFreshness(ageMs: number, holdMs: number): number {
  return holdMs > 0 ? Math.exp(-ageMs / holdMs) : 1;
}
