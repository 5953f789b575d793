/** Number of digits of a sort key; zero padding makes text order equal to version order. */
const VERSION_DIGITS = 10;

/** Formats a version as the sort key of its row. */
export function formatVersionKey(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}
