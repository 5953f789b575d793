/**
 * Parses the request id of a caller.
 *
 * @param value - value of `Jackdaw-Request-Id`, if present
 * @returns the id, or null if it is not 1 to 64 characters of `[A-Za-z0-9_-]`
 */
export const parseRequestId = (value: string | undefined): string | null =>
  value !== undefined && /^[A-Za-z0-9_-]{1,64}$/.test(value) ? value : null;
