import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { EngineError } from '../../../../application/ports';
import { sendRequest } from '../../../../http-connections';
import { convertCallError } from '../convertCallError';

/** One HTTP call to a backend server. */
export interface EngineCall {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly body: Readonly<Record<string, unknown>> | null;
  /** Longest wait for the answer's headers; 0 means no timeout. */
  readonly headersTimeoutMs: number;
  readonly signal: AbortSignal | null;
}

/**
 * Calls a backend server and returns the answer with its body unread.
 *
 * @param dispatcher - Connections to use.
 * @param call - Call to send.
 * @returns The answer of any status, or `not-started` or `broken`.
 */
export const callEngine = async (
  dispatcher: Dispatcher,
  call: EngineCall,
): Promise<Result<Dispatcher.ResponseData, EngineError>> => {
  try {
    const response = await sendRequest(() => {
      const url = new URL(call.url);
      return {
        dispatcher,
        options: {
          origin: url.origin,
          path: `${url.pathname}${url.search}`,
          method: call.method,
          headers: call.body ? { 'content-type': 'application/json' } : {},
          body: call.body ? JSON.stringify(call.body) : null,
          headersTimeout: call.headersTimeoutMs,
          bodyTimeout: 0,
          signal: call.signal,
        },
      };
    });
    return ok(response);
  } catch (error) {
    return err(convertCallError(error));
  }
};
