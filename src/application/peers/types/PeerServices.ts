import type { News } from '../../../domain/membership';
import type { DecisionLog, Generations } from '../../ports';

/** What a process offers to its peers and to operators. */
export interface PeerServices {
  handleNews(news: News): News;
  /** Generations that this VM holds; null at a process that runs none (the keeper). */
  readonly generations: Pick<Generations, 'findGeneration' | 'cancelGeneration'> | null;
  readonly decisions: Pick<DecisionLog, 'listDecisions'>;
  /** The configuration in force here as the table's row has it; null if not above `newerThan`. */
  readEncoded(newerThan: number): { readonly version: number; readonly body: string } | null;
  /** Status as documented in docs/operators/status.md; must convert to JSON. */
  readStatus(): unknown;
  /** Begins a graceful shutdown; gives the number of requests still running. */
  drain(): number;
}
