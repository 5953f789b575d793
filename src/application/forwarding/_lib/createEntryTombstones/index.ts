import { compareIncarnations, type ServerEntry } from '../../../../domain/forwarding';
import { createBoundedMap } from '../../../_lib/createBoundedMap';

type EntryVersion = Pick<ServerEntry, 'bornMs' | 'id' | 'sequence'>;

/** The last entries of servers that went, a bounded number of them. */
export interface EntryTombstones {
  add(entry: EntryVersion): void;
  /** True for an entry that was there before its server went; false if the server wrote it since. */
  has(entry: EntryVersion): boolean;
}

/** Entries that are remembered; the oldest ones are forgotten. */
const MAX_TOMBSTONES = 1000;

/** Creates the memory of entries that went; it is empty. */
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
