import { compareIncarnations, type ServerEntry } from '../../../../domain/forwarding';
import { createBoundedMap } from '../../../_lib/createBoundedMap';

type Incarnation = Pick<ServerEntry, 'bornMs' | 'id'>;

/** A bounded set of starts of servers. */
export interface IncarnationSet {
  add(incarnation: Incarnation): void;
  /** True for those that were added, and for older ones of the same id. */
  has(incarnation: Incarnation): boolean;
}

/** Starts of servers that are remembered; the oldest ones are forgotten. */
const MAX_INCARNATIONS = 1000;

/** Creates a set of starts of servers; it is empty. */
export const createIncarnationSet = (): IncarnationSet => {
  const bornMsById = createBoundedMap<number | null>(MAX_INCARNATIONS);
  return {
    add: ({ bornMs, id }) => bornMsById.set(id, bornMs),
    has: ({ bornMs, id }) => {
      const addedMs = bornMsById.get(id);
      return addedMs !== undefined && compareIncarnations(addedMs, bornMs) !== 'newer';
    },
  };
};
