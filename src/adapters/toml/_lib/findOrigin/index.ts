import type { KeyOrigin } from '../../types';

function isPrefix(prefix: readonly string[], path: readonly string[]): boolean {
  return prefix.length <= path.length && prefix.every((segment, index) => segment === path[index]);
}

/**
 * Finds where a key, or the nearest table around it, is defined.
 *
 * @returns the origin that shares most with the path (of equal ones, the last), or null
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
