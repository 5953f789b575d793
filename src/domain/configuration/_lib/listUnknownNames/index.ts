import type { ConfigurationFault } from '../../types';

/**
 * Lists a fault for each unknown name.
 *
 * @param path - key that holds the names
 * @param noun - kind of the named item, for the message
 */
export function listUnknownNames(
  path: readonly string[],
  noun: string,
  names: readonly string[],
  known: ReadonlySet<string>,
): readonly ConfigurationFault[] {
  return names
    .filter((name) => !known.has(name))
    .map((name) => ({ path, reason: `names the unknown ${noun} "${name}"` }));
}

/** Builds the set of the names of items. */
export function buildNameSet(items: readonly { readonly name: string }[]): ReadonlySet<string> {
  return new Set(items.map(({ name }) => name));
}
