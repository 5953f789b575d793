import type { Fact } from '../../../../domain/membership';

/** Kinds sent only within a region: they change often, and other regions do not route by them. */
const REGIONAL_KINDS: ReadonlySet<Fact['kind']> = new Set([
  'pulse',
  'load',
  'server-state',
  'send',
]);

/**
 * Checks whether a fact is sent to a receiver.
 *
 * @param receiver - the receiver's `region`, and whether the sender is in the same one
 */
export function isFactForRegion(
  fact: Fact,
  receiver: { readonly isSameRegion: boolean; readonly region: string },
): boolean {
  if (fact.kind === 'region') return fact.region !== receiver.region;
  return receiver.isSameRegion || !REGIONAL_KINDS.has(fact.kind);
}
