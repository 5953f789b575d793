import type { Refusal } from '../../types';

/**
 * Builds the answer to a request that is not sent on, as servers ended under it.
 *
 * @param options.quarantineMs - how much longer it is in quarantine
 * @param options.hasArrived - true: a server may have begun to run it
 */
export const buildQuarantineRefusal = ({
  hasArrived,
  quarantineMs,
}: {
  readonly hasArrived: boolean;
  readonly quarantineMs: number;
}): Refusal => ({
  kind: hasArrived ? 'lost' : 'not-run',
  reason: 'servers ended under this request: it is not sent to others',
  retryAfterMs: hasArrived ? 0 : quarantineMs,
});
