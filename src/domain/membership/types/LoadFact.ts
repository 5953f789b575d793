import type { LoadedModel } from '../../types';

/** The fields of a load report that seldom change. */
export interface ServerStateFact {
  readonly kind: 'server-state';
  readonly backendServer: string;
  readonly slots: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
  readonly leaving: boolean;
  readonly fencingToken: number;
}

/** The fields of a load report that change continuously. */
export interface LoadFact {
  readonly kind: 'load';
  /** Id of the server, from `computeNameId`. */
  readonly id: number;
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  /** Fraction of the cache memory in use, in thousandths. */
  readonly cacheUsePermille: number;
  readonly tokensPerSecond: number;
  /** Age of the figures when sent, in milliseconds. */
  readonly ageMs: number;
}
