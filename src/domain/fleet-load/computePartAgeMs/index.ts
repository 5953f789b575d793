import type { HeldPart } from '../types';

/** Computes the age of a part, in milliseconds. */
export const computePartAgeMs = ({ part, receivedAtMs }: HeldPart, nowMs: number): number =>
  part.ageMs + nowMs - receivedAtMs;
