import { parseRowVersion } from '../../rows';
import type { RolloutOrder } from '../types';

/**
 * Tells whether an order repeats a known one after the store was restored from a backup.
 *
 * The restored store still holds the order, or the operator wrote it again.
 */
export const isSameOrder = (before: RolloutOrder, order: RolloutOrder): boolean =>
  parseRowVersion(order.sequence).era > parseRowVersion(before.sequence).era &&
  order.service === before.service &&
  order.to === before.to &&
  order.durationMs === before.durationMs;
