import type { LoadReport } from '../../../domain/types';
import type { LoadView } from '../../ports';

/** The load view with what only the router asks of it. */
export interface RoutingLoad extends LoadView {
  findReport(backendServer: string): LoadReport | null;
  /** Requests at the server, running and waiting: the report corrected by sends since. */
  estimateRunning(backendServer: string): number;
  /** Notes that this VM begins an attempt there. */
  recordSend(backendServer: string): void;
  /** Notes that an attempt of this VM there ended. */
  recordEnd(backendServer: string): void;
  /** Calls `listener` after each newer report or news of peers' sends; the result stops that. */
  addListener(listener: (backendServer: string) => void): () => void;
}
