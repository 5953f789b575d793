import type { LoadedModel } from '../../types';

/** The part of a load report that seldom changes. */
export interface ServerStateFact {
  readonly kind: 'server-state';
  readonly backendServer: string;
  readonly slots: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
  readonly leaving: boolean;
  readonly fencingToken: number;
}

/** The part of a load report that changes all the time. */
export interface LoadFact {
  readonly kind: 'load';
  /** `computeNameId` of the server's name. */
  readonly id: number;
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  /** Part of the cache memory in use, in thousandths. */
  readonly cacheUsePermille: number;
  readonly tokensPerSecond: number;
  /** Age of the figures when sent, in milliseconds. */
  readonly ageMs: number;
}
