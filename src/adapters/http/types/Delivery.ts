import type { GenerationError, GenerationEvent } from '../../../application/ports';
import type { AnswerShape } from './AnswerShape';
import type { CallerError } from './CallerError';

/** One answer on its way to one caller, and what stops it before its end. */
export interface Delivery {
  /** Monotonic time of the request's arrival, in milliseconds. */
  readonly startedMs: number;
  readonly shape: AnswerShape;
  readonly iterator: AsyncIterator<GenerationEvent>;
  /** Aborts when the caller is gone, or when a shutdown hands the generation over. */
  readonly stop: AbortSignal;
  /** Resolves when `stop` aborts. */
  readonly stopped: Promise<void>;
  readonly handOverError: GenerationError;
  isHandedOver(): boolean;
  buildStopError(): CallerError;
}
