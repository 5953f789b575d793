import type { Dispatcher } from 'undici';
import { decorateHandler } from '../decorateHandler';

/** Failure of a request of which no byte was written to a connection. */
export class UnwrittenError extends Error {
  /** Code of the cause, if it has one. */
  readonly code: unknown;

  constructor(cause: unknown) {
    const { code, message } = cause as { readonly code?: unknown; readonly message?: unknown };
    super(String(message ?? 'the request was not written'), { cause });
    this.code = code;
  }
}

/** A request, and the connections on which it is sent. */
export interface PreparedRequest {
  readonly dispatcher: Dispatcher;
  readonly options: Dispatcher.RequestOptions;
}

/**
 * Sends a request once, and tells whether it was written if it fails.
 *
 * The code of an error can't tell that: an established connection may end with the same code as one
 * that was never made. The client announces a request directly before it writes it, and does not
 * write it if it is aborted then. A request that is announced again would be written again, on
 * another connection; it fails instead.
 *
 * @param prepare - finds the connections; what it throws counts as not written
 * @returns the response, whose body is still arriving
 * @throws `UnwrittenError` if no byte was written, else the error of the HTTP client
 *
 * @example
 * await sendRequest(() => ({ dispatcher, options: { path: '/x', method: 'GET' } }));
 */
export const sendRequest = async (
  prepare: () => PreparedRequest,
): Promise<Dispatcher.ResponseData> => {
  let isWritten = false;
  const recordWrite: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
    dispatch(
      options,
      decorateHandler(handler, {
        onRequestStart: (controller, context) => {
          if (isWritten) {
            controller.abort(new Error('the request was written before'));
            return;
          }
          handler.onRequestStart?.(controller, context);
          isWritten = !controller.aborted;
        },
      }),
    );
  try {
    const { dispatcher, options } = prepare();
    return await dispatcher.compose(recordWrite).request(options);
  } catch (error) {
    throw isWritten ? error : new UnwrittenError(error);
  }
};

/** True if nothing of a failed request was written. */
export const isUnwritten = (error: unknown): boolean => error instanceof UnwrittenError;
