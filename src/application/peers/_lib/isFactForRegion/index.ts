import type { Fact } from '../../../../domain/membership';

/** Kinds that stay inside a region: they change all the time, and others don't route by them. */
const REGIONAL_KINDS: ReadonlySet<Fact['kind']> = new Set([
  'pulse',
  'load',
  'server-state',
  'send',
]);

/**
 * Tells whether a fact goes to a receiver.
 *
 * @param fact - the fact
 * @param receiver - `isSameRegion` as the sender; its `region`
 */
export function isFactForRegion(
  fact: Fact,
  receiver: { readonly isSameRegion: boolean; readonly region: string },
): boolean {
  if (fact.kind === 'region') return fact.region !== receiver.region;
  return receiver.isSameRegion || !REGIONAL_KINDS.has(fact.kind);
}
