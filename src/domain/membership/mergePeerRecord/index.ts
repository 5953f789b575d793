import type { PeerRecord } from '../types';

/**
 * Merges two records of one VM: the higher incarnation wins; within one, leaving is final, so that
 * an older record that comes late can't bring a leaving VM back.
 *
 * @param known - the record held, or null
 * @param incoming - the record told
 * @returns the record to hold; `known` itself if nothing changed
 */
export const mergePeerRecord = (known: PeerRecord | null, incoming: PeerRecord): PeerRecord => {
  if (known === null || incoming.incarnation > known.incarnation) return incoming;
  if (incoming.incarnation < known.incarnation) return known;
  return incoming.leaving && !known.leaving ? incoming : known;
};
