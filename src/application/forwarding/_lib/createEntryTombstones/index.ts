import { compareIncarnations, type ServerEntry } from '../../../../domain/forwarding';
import { createBoundedMap } from '../../../_lib/createBoundedMap';

type Entry = Pick<ServerEntry, 'bornMs' | 'id' | 'sequence'>;

/** The last entries of servers that went, a bounded number of them. */
export interface EntryTombstones {
  add(entry: Entry): void;
  /** True for an entry that was there before its server went; false if the server wrote it since. */
  has(entry: Entry): boolean;
}

/** Entries that are remembered; the oldest ones are forgotten. */
const MAX_ENTRIES = 1000;

/** Creates the memory of entries that went; it is empty. */
export const createEntryTombstones = (): EntryTombstones => {
  const lastOf = createBoundedMap<Entry>(MAX_ENTRIES);
  return {
    add: ({ bornMs, id, sequence }) => lastOf.set(id, { bornMs, id, sequence }),
    has: ({ bornMs, id, sequence }) => {
      const last = lastOf.get(id);
      if (!last || compareIncarnations(last.bornMs, bornMs) === 'newer') return false;
      return sequence <= last.sequence;
    },
  };
};
