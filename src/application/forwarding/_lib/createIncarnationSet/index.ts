import { compareIncarnations, type ServerEntry } from '../../../../domain/forwarding';
import { createBoundedMap } from '../../../_lib/createBoundedMap';

type Incarnation = Pick<ServerEntry, 'bornMs' | 'id'>;

/** A bounded set of server incarnations. */
export interface IncarnationSet {
  add(incarnation: Incarnation): void;
  /** True for incarnations that were added, and for older ones of the same id. */
  has(incarnation: Incarnation): boolean;
}

/** Maximum number of incarnations; the oldest ones are dropped first. */
const MAX_INCARNATIONS = 1000;

/** Creates an empty set of incarnations. */
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
