import type { PeerRecord } from '../types';

/**
 * Merges two records of one VM.
 *
 * The higher incarnation wins. Within an incarnation, leaving is final, so that an older record
 * that arrives late cannot revert it.
 *
 * @param known - the current record, or null
 * @param incoming - the received record
 * @returns the record to keep; `known` itself if nothing changed
 */
export const mergePeerRecord = (known: PeerRecord | null, incoming: PeerRecord): PeerRecord => {
  if (known === null || incoming.incarnation > known.incarnation) return incoming;
  if (incoming.incarnation < known.incarnation) return known;
  return incoming.leaving && !known.leaving ? incoming : known;
};
