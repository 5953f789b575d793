import { err, ok, type Result } from 'neverthrow';
import type { KeyHolder, Route, RouteTable } from '../types';

/** What a request may do, as far as its key says. */
export interface RequestAccess {
  /** Null: nobody's in particular. */
  readonly holder: KeyHolder | null;
}

/**
 * Checks the key of a request.
 *
 * @returns whose it is; an error if the route needs a key and nobody holds this one
 */
export const checkRequestKey = (
  table: RouteTable,
  route: Route,
  key: string | null,
): Result<RequestAccess, 'unknown-key'> => {
  if (table.holdersByKey === null) return ok({ holder: null });
  const holder = key === null ? null : (table.holdersByKey.get(key) ?? null);
  return holder === null && !route.isPublic ? err('unknown-key') : ok({ holder });
};
