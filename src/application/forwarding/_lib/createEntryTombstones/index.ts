import { compareIncarnations, type ServerEntry } from '../../../../domain/forwarding';
import { createBoundedMap } from '../../../_lib/createBoundedMap';

type EntryVersion = Pick<ServerEntry, 'bornMs' | 'id' | 'sequence'>;

/** Tombstones of removed server entries, bounded in number. */
export interface EntryTombstones {
  add(entry: EntryVersion): void;
  /** True if the entry is not newer than the server's tombstone. */
  has(entry: EntryVersion): boolean;
}

/** Maximum number of tombstones; the oldest ones are dropped first. */
const MAX_TOMBSTONES = 1000;

/** Creates an empty set of tombstones. */
export const createEntryTombstones = (): EntryTombstones => {
  const lastVersionById = createBoundedMap<EntryVersion>(MAX_TOMBSTONES);
  return {
    add: ({ bornMs, id, sequence }) => lastVersionById.set(id, { bornMs, id, sequence }),
    has: ({ bornMs, id, sequence }) => {
      const last = lastVersionById.get(id);
      if (!last || compareIncarnations(last.bornMs, bornMs) === 'newer') return false;
      return sequence <= last.sequence;
    },
  };
};
