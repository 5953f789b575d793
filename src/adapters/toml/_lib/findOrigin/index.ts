import type { KeyOrigin } from '../../types';

function isPrefix(prefix: readonly string[], path: readonly string[]): boolean {
  return prefix.length <= path.length && prefix.every((segment, index) => segment === path[index]);
}

/**
 * Finds the definition of a key, or of its nearest enclosing table.
 *
 * @returns the origin with the longest matching path (the last of equal ones), or null
 */
export function findOrigin(
  origins: readonly KeyOrigin[],
  path: readonly string[],
): KeyOrigin | null {
  return origins
    .filter((origin) => isPrefix(origin.path, path))
    .reduce<KeyOrigin | null>(
      (best, origin) => (best === null || origin.path.length >= best.path.length ? origin : best),
      null,
    );
}
