import type { Waiter } from '../types';

/**
 * Compares two waiters of a class by who is served first: resumes and retries, then by fair share, then by
 * arrival.
 *
 * @returns below 0 if `left` is first
 */
export function compareWaiters(left: Waiter, right: Waiter): number {
  if (left.comesFirst !== right.comesFirst) return left.comesFirst ? -1 : 1;
  return left.startTag - right.startTag || left.id - right.id;
}
