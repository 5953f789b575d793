import type { GapStatistics } from '../../../domain/detection';
import type { BackendServer } from '../../../domain/types';
import type { EngineStream, Slot } from '../../ports';

/** What belongs to one attempt outside of the pure state. Changed only by the attempt runner. */
export interface AttemptHandle {
  readonly attempt: number;
  readonly abort: AbortController;
  streamId: string;
  server: BackendServer | null;
  slot: Slot | null;
  stream: EngineStream | null;
  /** True from the moment at which the request leaves until the engine is known not to have it. */
  isAtEngine: boolean;
  sentAtMs: number;
  firstTokenMs: number;
  lastActivityMs: number;
  gaps: GapStatistics;
  deliveredTokens: number;
}
