import { err, ok, type Result } from 'neverthrow';
import type { KeyHolder, Route, RouteTable } from '../types';

/** Result of a successful key check. */
export interface RequestAccess {
  /** Holder of the key; null if the request is anonymous. */
  readonly holder: KeyHolder | null;
}

/**
 * Checks the API key of a request against the key holders and the route.
 *
 * @returns the holder of the key; an error if the route is not public and nobody holds the key
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
