import type { CallerState } from '../../types';

/** Renders what a caller has received, for error messages. */
export function renderState({ end, tokenIds }: CallerState): string {
  const how = end === null ? 'still running' : `${end.kind} ${end.status} ${end.code}`.trim();
  return `${tokenIds.length} tokens, ${how}`;
}
