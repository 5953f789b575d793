import { WorkClass } from '../../types';
import type { WorkClassPolicy } from '../types';

/**
 * Fraction of the slots by which lookups may exceed the slots of an engine. The extra lookups wait
 * at the engine by priority and get the next free slot at once; a queue on this VM would learn of
 * the free slot only from a delayed load report.
 */
const LOOKUP_OVERCOMMIT = 0.5;

const CLASS_POLICIES: Readonly<Record<WorkClass, WorkClassPolicy>> = {
  [WorkClass.Lookup]: {
    enginePriority: 100,
    queueRank: 0,
    computeLimit: ({ slots }) => slots + Math.ceil(slots * LOOKUP_OVERCOMMIT),
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

/** Finds the admission rules of a class of work. */
export function findWorkClassPolicy(workClass: WorkClass): WorkClassPolicy {
  return CLASS_POLICIES[workClass];
}
