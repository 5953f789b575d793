import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { PATHS } from '../../../../platform';
import type { StandInServer } from '../../../../standins/gateway';

/** Channel on which undici tells that a response was received completely. */
const CHANNEL = 'undici:request:trailers';

interface CompletedRequest {
  readonly request: { readonly origin: unknown; readonly path: string };
}

/** Resolves once the gateway has received the next whole report of the server. */
export const waitForReport = ({ address }: StandInServer): Promise<void> =>
  new Promise((resolve) => {
    const handleCompleted = (message: unknown): void => {
      const { request } = message as CompletedRequest;
      if (String(request.origin) !== `http://${address}` || request.path !== PATHS.report) return;
      unsubscribe(CHANNEL, handleCompleted);
      resolve();
    };
    subscribe(CHANNEL, handleCompleted);
  });
