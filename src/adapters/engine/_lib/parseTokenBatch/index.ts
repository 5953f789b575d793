import { err, ok, type Result } from 'neverthrow';
import type { TokenBatch } from '../../../../domain/types';
import type { SseEvent } from '../parseSseEvents';

interface Choice {
  readonly delta?: { readonly content?: unknown; readonly token_ids?: unknown };
  readonly text?: unknown;
  readonly token_ids?: unknown;
  readonly finish_reason?: unknown;
}

const readTokenIds = (value: unknown): readonly number[] | null => {
  if (value === undefined || value === null) return [];
  if (!Array.isArray(value)) return null;
  return value.every((id) => Number.isInteger(id) && id >= 0) ? (value as number[]) : null;
};

const readChoice = (data: string): Choice | null => {
  try {
    const parsed = JSON.parse(data) as { choices?: Choice[] } | null;
    return parsed?.choices?.[0] ?? null;
  } catch {
    return null;
  }
};

const readText = (choice: Choice): string => {
  const text = choice.delta?.content ?? choice.text;
  return typeof text === 'string' ? text : '';
};

/**
 * Parses one event of an engine's stream and checks that its offset follows the previous event.
 *
 * A gap or an overlap would silently become a missing or repeated token in the caller's answer, so
 * it is an error that ends the attempt.
 *
 * @param event - Event with data other than `[DONE]`.
 * @param expectedOffset - Number of tokens before the event.
 * @returns The batch, or the reason why the event is malformed.
 */
export const parseTokenBatch = (
  event: SseEvent,
  expectedOffset: number,
): Result<TokenBatch, string> => {
  const choice = readChoice(event.data);
  if (!choice) return err('event without a choice');
  const tokenIds = readTokenIds(choice.delta?.token_ids ?? choice.token_ids);
  if (!tokenIds) return err('malformed token ids');
  const text = readText(choice);
  if (tokenIds.length === 0 && text) return err('text without token ids');
  const offsetAfter = expectedOffset + tokenIds.length;
  const reported = Number(event.id);
  if (event.id === '' ? tokenIds.length > 0 : reported !== offsetAfter) {
    return err(
      `event id ${event.id || 'missing'} after offset ${expectedOffset} and ${tokenIds.length} tokens`,
    );
  }
  const finishReason = typeof choice.finish_reason === 'string' ? choice.finish_reason : null;
  return ok({ offset: expectedOffset, tokenIds, text, finishReason });
};
