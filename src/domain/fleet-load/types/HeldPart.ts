import type { LoadPart } from './LoadPart';

/** A part with the time at which it was received. */
export interface HeldPart {
  readonly part: LoadPart;
  readonly receivedAtMs: number;
}
