import type { ServerEntry } from '../types';

/** Names one start of a server: most have a new id at each, others the old one and a later birth. */
export const formatIncarnation = ({ bornMs, id }: Pick<ServerEntry, 'bornMs' | 'id'>): string =>
  bornMs === null ? id : `${id}@${bornMs}`;
