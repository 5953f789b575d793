import { WorkClass } from '../../types';
import type { WorkClassPolicy } from '../types';

/**
 * Part of the slots by which lookups may overfill an engine. They wait there by priority, so that
 * the next free slot is theirs at once; a queue here would learn of it only by a late report.
 */
const LOOKUP_OVERFILL = 0.5;

const CLASS_POLICIES: Readonly<Record<WorkClass, WorkClassPolicy>> = {
  [WorkClass.Lookup]: {
    enginePriority: 100,
    queueRank: 0,
    computeLimit: ({ slots }) => slots + Math.ceil(slots * LOOKUP_OVERFILL),
    isServedFirst: true,
  },
  [WorkClass.Plain]: {
    enginePriority: 50,
    queueRank: 1,
    computeLimit: ({ slots }) => slots,
    isServedFirst: false,
  },
  [WorkClass.Long]: {
    enginePriority: 10,
    queueRank: 2,
    computeLimit: ({ slots, reservedSlots }) => Math.max(1, slots - reservedSlots),
    isServedFirst: false,
  },
};

/** Finds how a class of work is admitted. */
export function findWorkClassPolicy(workClass: WorkClass): WorkClassPolicy {
  return CLASS_POLICIES[workClass];
}
