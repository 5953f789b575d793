import type { HeldPart, LoadPart } from '../types';

/** A part is kept for comparison after it no longer counts, as delayed copies of it may arrive. */
const KEEP_MS = 10_000;

const isNewer = (part: LoadPart, held: LoadPart): boolean =>
  part.incarnation > held.incarnation ||
  (part.incarnation === held.incarnation && part.sequence > held.sequence);

/**
 * Merges a received part into the held ones, of which there is one for each VM. A part that is
 * older than the held one, or repeats it, is ignored. Parts that are long outdated are dropped.
 */
export const mergeLoadPart = (
  held: ReadonlyMap<string, HeldPart>,
  part: LoadPart,
  nowMs: number,
): ReadonlyMap<string, HeldPart> => {
  const kept = new Map([...held].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs < KEEP_MS));
  const before = kept.get(part.vm);
  return before && !isNewer(part, before.part)
    ? kept
    : kept.set(part.vm, { part, receivedAtMs: nowMs });
};
