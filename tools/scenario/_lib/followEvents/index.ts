import { decodeServerSentEvents } from '../../../../client/_lib/decodeServerSentEvents';
import type { CallerConnection, CallerEnd } from '../../types';
import { NO_ANSWER } from '../readAnswer';

interface WireEvent {
  readonly id?: string;
  readonly error?: { readonly code?: string; readonly run_state?: string };
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly text?: string;
    readonly token_ids?: readonly number[];
    readonly finish_reason?: string | null;
  }[];
}

const HTTP_OK = 200;

/**
 * Reads an event stream as a plain HTTP caller does and records each batch of tokens.
 *
 * @returns how the stream ended
 */
export async function followEvents(
  response: Response,
  connection: CallerConnection,
): Promise<CallerEnd> {
  const endSoFar = {
    ...NO_ANSWER,
    status: HTTP_OK,
    runState: response.headers.get('jackdaw-run-state') ?? '',
  };
  const body = response.body as unknown as AsyncIterable<Uint8Array>;
  let finished = false;
  for await (const event of decodeServerSentEvents(body)) {
    if (event.data === '[DONE]') return { ...endSoFar, kind: finished ? 'finished' : 'cut' };
    const wire = JSON.parse(event.data) as WireEvent;
    if (wire.error !== undefined) {
      const { code = '', run_state: runState = '' } = wire.error;
      return { ...endSoFar, kind: 'failed', code, runState };
    }
    const choice = wire.choices?.[0];
    const tokenIds = choice?.token_ids ?? [];
    const finishReason = choice?.finish_reason ?? '';
    finished ||= finishReason !== '';
    if (tokenIds.length > 0 || finishReason !== '') {
      connection.recordBatch({
        generationId: wire.id ?? '',
        cursor: event.id,
        tokenIds,
        text: choice?.delta?.content ?? choice?.text ?? '',
        finishReason,
      });
    }
  }
  return endSoFar;
}
