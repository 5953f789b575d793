/**
 * Computes how far a report of what runs still holds: the part of it that still runs.
 *
 * @param ageMs - age of the report, in milliseconds
 * @param holdMs - mean time for which requests stay at the server; 0 if unknown
 * @returns 0 to 1; 1 if the hold time is unknown
 */
export function computeFreshness(ageMs: number, holdMs: number): number {
  return holdMs > 0 ? Math.exp(-ageMs / holdMs) : 1;
}
