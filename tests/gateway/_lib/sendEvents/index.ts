import type { TakenRequest } from '../takeNextRequest';

/** Sends the events from `first` to `last` and ends the stream. */
export const sendEvents = (
  { request, server }: TakenRequest,
  first: number,
  last: number,
): void => {
  server.startStream(request);
  server.sendEvents(request, first, last);
  request.response.end();
};
