import { formatStandInEvent } from '../../../../standins/gateway';

/** The body that holds the events with ids from `first` to `last`. */
export const formatEvents = (first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => formatStandInEvent(first + index)).join(
    '',
  );
