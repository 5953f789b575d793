import type { Dispatcher } from 'undici';

/**
 * Builds a handler of a request that passes each event on to another handler, except for those that
 * it handles itself.
 *
 * @param handler - handler to which events are passed on
 * @param own - events that are handled instead
 *
 * @example
 * decorateHandler(handler, { onResponseError: (controller, error) => log(error) });
 */
export const decorateHandler = (
  handler: Dispatcher.DispatchHandler,
  own: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler => ({
  onRequestStart: (...args) => handler.onRequestStart?.(...args),
  onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
  onResponseStart: (...args) => handler.onResponseStart?.(...args),
  onResponseData: (...args) => handler.onResponseData?.(...args),
  onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
  onResponseError: (...args) => handler.onResponseError?.(...args),
  ...own,
});
