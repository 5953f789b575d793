import { parseRowVersion } from '../../rows';
import type { RolloutOrder } from '../types';

/**
 * Tells whether an order is one that was known before: the store came back from a copy, and holds it
 * still, or the operator wrote it again.
 */
export const isSameOrder = (before: RolloutOrder, order: RolloutOrder): boolean =>
  parseRowVersion(order.sequence).era > parseRowVersion(before.sequence).era &&
  order.service === before.service &&
  order.to === before.to &&
  order.durationMs === before.durationMs;
