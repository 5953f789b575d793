import type { RequestClass } from '../types';

/**
 * Compares the urgency of two request classes.
 *
 * @returns negative if `a` is more urgent, 0 if both are equally urgent
 */
export const compareRequestClasses = (a: RequestClass, b: RequestClass): number =>
  a.priority - b.priority || a.routePriority - b.routePriority;
