/**
 * Deadline of one call to the platform, in milliseconds. A lookup's caller waits a few seconds at
 * most, which leaves time for retries.
 */
export const DEFAULT_DEADLINE_MS = 300;

/** Default delay before the retry of a call that had no effect, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1000;
