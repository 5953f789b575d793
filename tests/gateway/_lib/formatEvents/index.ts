import { formatStandInEvent } from '../../../../standins/gateway';

/** Formats a response body with the events from `first` to `last`. */
export const formatEvents = (first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => formatStandInEvent(first + index)).join(
    '',
  );
