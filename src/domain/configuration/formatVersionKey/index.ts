/** Digits of a version's sort key, so that text order is the order of versions. */
const VERSION_DIGITS = 10;

/** Formats a version as the sort key of its row. */
export function formatVersionKey(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}
