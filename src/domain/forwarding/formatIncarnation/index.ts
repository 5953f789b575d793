import type { ServerEntry } from '../types';

/**
 * Formats the name of one incarnation of a server.
 *
 * Most servers get a new id at each start; others keep their id and have a later start time.
 */
export const formatIncarnation = ({ bornMs, id }: Pick<ServerEntry, 'bornMs' | 'id'>): string =>
  bornMs === null ? id : `${id}@${bornMs}`;
