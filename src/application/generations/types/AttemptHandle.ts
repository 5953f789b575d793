import type { GapStatistics } from '../../../domain/detection';
import type { BackendServer } from '../../../domain/types';
import type { EngineStream, Slot } from '../../ports';

/** Resources of one attempt outside of the pure state; changed only by the attempt's own code. */
export interface AttemptHandle {
  readonly attempt: number;
  readonly abort: AbortController;
  streamId: string;
  server: BackendServer | null;
  slot: Slot | null;
  stream: EngineStream | null;
  /** True from the send of the request until the engine is known not to run the stream. */
  isAtEngine: boolean;
  sentAtMs: number;
  firstTokenMs: number;
  lastActivityMs: number;
  gaps: GapStatistics;
  deliveredTokens: number;
}
