import type { RelayCandidate } from '../types';

/** Options of the draw. */
export interface RelayDraw {
  readonly count: number;
  /** Zone of this VM. */
  readonly ownZone: string;
  /** VMs that are asked before all others, as they reached servers before. */
  readonly knownVms: ReadonlySet<string>;
  /** VMs that are not asked. */
  readonly skippedVms: ReadonlySet<string>;
  /** Returns a random number from 0 inclusive to 1 exclusive. */
  readonly drawFraction: () => number;
}

/** Of the VMs asked, one in this many is in the own zone, which may be cut off as a whole. */
const OWN_ZONE_EVERY = 3;

const shuffle = <Item>(items: readonly Item[], drawFraction: () => number): readonly Item[] =>
  items
    .map((item) => ({ item, rank: drawFraction() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ item }) => item);

/**
 * Draws the VMs that are asked which servers they reach: known relays first, then two of other
 * zones for each one of the own zone.
 */
export const drawRelayCandidates = (
  peers: readonly RelayCandidate[],
  { count, drawFraction, knownVms, ownZone, skippedVms }: RelayDraw,
): readonly RelayCandidate[] => {
  const shuffled = shuffle(
    peers.filter(({ vm }) => !skippedVms.has(vm)),
    drawFraction,
  );
  const known = shuffled.filter(({ vm }) => knownVms.has(vm));
  const others = shuffled.filter(({ vm }) => !knownVms.has(vm));
  const own = others.filter(({ availabilityZone }) => availabilityZone === ownZone);
  const foreign = others.filter(({ availabilityZone }) => availabilityZone !== ownZone);
  const mixed: RelayCandidate[] = [];
  while (own.length + foreign.length > 0) {
    const isOwnTurn = mixed.length % OWN_ZONE_EVERY === OWN_ZONE_EVERY - 1;
    const next = isOwnTurn ? (own.shift() ?? foreign.shift()) : (foreign.shift() ?? own.shift());
    if (next) mixed.push(next);
  }
  return [...known, ...mixed].slice(0, count);
};
