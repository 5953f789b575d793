import type {
  GenerationBatch,
  GenerationProgress,
  ServerSentEvent,
  StreamFailure,
} from '../../types';

/** Result of parsing one event. */
export type ParsedEvent =
  | { readonly kind: 'batch'; readonly batch: GenerationBatch }
  | { readonly kind: 'failure'; readonly failure: StreamFailure }
  | { readonly kind: 'ignored' };

interface WireChoice {
  readonly delta?: { readonly content?: string | null };
  readonly text?: string;
  readonly token_ids?: unknown;
  readonly finish_reason?: string | null;
}

interface WireEvent {
  readonly id?: string;
  readonly choices?: readonly WireChoice[];
  readonly error?: {
    readonly code?: string;
    readonly message?: string;
    readonly run_state?: string;
    readonly retry_after_ms?: number;
  };
}

const isTokenList = (value: unknown): value is readonly number[] =>
  Array.isArray(value) && value.every((item) => Number.isInteger(item));

const buildFailure = (code: string, message: string): StreamFailure => ({
  code,
  message,
  runState: 'unknown',
  requestId: '',
  retryable: true,
  retryAfterMs: 0,
});

const parseJson = (text: string): WireEvent | null => {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : null;
  } catch {
    return null;
  }
};

/**
 * Parses one event of a generation's stream.
 *
 * @param progress - Progress of the generation before the event.
 */
export function parseGenerationEvent(
  event: ServerSentEvent,
  progress: GenerationProgress,
): ParsedEvent {
  if (event.data === '[DONE]') return { kind: 'ignored' };
  const wire = parseJson(event.data);
  if (wire === null) {
    return {
      kind: 'failure',
      failure: buildFailure('response_malformed', 'an event is not valid JSON'),
    };
  }
  if (wire.error !== undefined) {
    const { code = 'unknown', message = 'no reason given', run_state: runState } = wire.error;
    const failure = buildFailure(code, message);
    const retryAfterMs = wire.error.retry_after_ms ?? 0;
    return {
      kind: 'failure',
      failure: { ...failure, runState: runState ?? 'unknown', retryAfterMs },
    };
  }
  const choice = wire.choices?.[0];
  // A chunk without tokens (a role or a usage report) does not advance the cursor.
  if (choice === undefined) return { kind: 'ignored' };
  const tokenIds = choice.token_ids ?? [];
  if (!isTokenList(tokenIds)) {
    return {
      kind: 'failure',
      failure: buildFailure('response_malformed', 'token_ids is not an array of integers'),
    };
  }
  const finishReason = choice.finish_reason ?? null;
  if (tokenIds.length === 0 && finishReason === null) return { kind: 'ignored' };
  return {
    kind: 'batch',
    batch: {
      generationId: wire.id ?? progress.generationId,
      offset: progress.tokenIds.length,
      tokenIds,
      text: choice.delta?.content ?? choice.text ?? '',
      cursor: event.id,
      finishReason,
    },
  };
}
