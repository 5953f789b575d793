/**
 * Time for one call to the platform, milliseconds. A lookup's caller waits a few seconds at most,
 * and a call may be repeated within that.
 */
export const DEFAULT_DEADLINE_MS = 300;

/** When to try again after a call that had no effect, if the platform does not say. */
export const DEFAULT_RETRY_AFTER_MS = 1000;
