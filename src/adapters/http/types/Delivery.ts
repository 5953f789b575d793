import type { GenerationError, GenerationEvent } from '../../../application/ports';
import type { AnswerShape } from './AnswerShape';
import type { CallerError } from './CallerError';

/** Delivery of one answer to one caller, with the conditions that stop it early. */
export interface Delivery {
  /** Monotonic time of the request's arrival, in milliseconds. */
  readonly startedMs: number;
  readonly shape: AnswerShape;
  readonly iterator: AsyncIterator<GenerationEvent>;
  /** Aborts when the caller disconnects, or when a shutdown hands the generation over. */
  readonly stop: AbortSignal;
  /** Resolves when `stop` aborts. */
  readonly stopped: Promise<void>;
  readonly handOverError: GenerationError;
  isHandedOver(): boolean;
  buildStopError(): CallerError;
}
