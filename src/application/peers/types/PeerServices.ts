import type { News } from '../../../domain/membership';
import type { DecisionLog, Generations } from '../../ports';

/** Services that a process offers to peers and operators. */
export interface PeerServices {
  handleNews(news: News): News;
  /** Generations held by this VM; null in a process that runs none (the keeper). */
  readonly generations: Pick<Generations, 'findGeneration' | 'cancelGeneration'> | null;
  readonly decisions: Pick<DecisionLog, 'listDecisions'>;
  /** Returns the configuration in force as encoded in its row; null if not above `newerThan`. */
  readEncoded(newerThan: number): { readonly version: number; readonly body: string } | null;
  /** Returns the status documented in docs/operators/status.md; must be convertible to JSON. */
  readStatus(): unknown;
  /** Starts a graceful shutdown; returns the number of requests still running. */
  drain(): number;
}
