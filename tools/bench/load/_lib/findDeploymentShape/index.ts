import type { DeploymentShape } from '../../types';

/** Mean length of long outputs; the lengths vary by workspace and request. */
export const MEAN_LONG_TOKENS = 16;

/** Length of the answer to a lookup. */
export const LOOKUP_TOKENS = 3;

const LONG_ENGINE = { slots: 8, firstTokenMs: 300, gapMs: 200 } as const;
const LOOKUP_ENGINE = { slots: 4, firstTokenMs: 80, gapMs: 25 } as const;

/**
 * Servers and zones as in the users' brief. The round trips keep its proportions: at Sello, clients
 * are slightly closer to a zone than the zones are to each other; at Cymdeithas, clients are
 * several times farther from a zone than the zones are from each other.
 */
const SHAPES: Readonly<Record<string, DeploymentShape>> = {
  sello: {
    name: 'sello',
    zones: ['gt-1', 'gt-2', 'gt-3', 'gt-4'],
    entriesPerZone: 2,
    longService: 'review',
    lookupService: 'status',
    long: { ...LONG_ENGINE, prefix: 'review', count: 17, services: ['review', 'status'] },
    lookup: { ...LOOKUP_ENGINE, prefix: 'counter', count: 4, services: ['status'] },
    zoneRoundTripMs: 4,
    clientRoundTripMs: 3.5,
  },
  cymdeithas: {
    name: 'cymdeithas',
    zones: ['cy-1', 'cy-2', 'cy-3'],
    entriesPerZone: 2,
    longService: 'draft',
    lookupService: 'claim',
    long: { ...LONG_ENGINE, prefix: 'draft', count: 25, services: ['draft', 'claim'] },
    lookup: { ...LOOKUP_ENGINE, prefix: 'lookup', count: 3, services: ['claim'] },
    zoneRoundTripMs: 1,
    clientRoundTripMs: 6,
  },
};

/** Finds the shape of a deployment by name, or null. */
export function findDeploymentShape(name: string): DeploymentShape | null {
  return SHAPES[name] ?? null;
}
