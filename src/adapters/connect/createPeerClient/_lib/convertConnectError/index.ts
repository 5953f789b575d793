import { Code, ConnectError } from '@connectrpc/connect';
import type { PeerError } from '../../../../../application/peers';

/** Kinds of failure by connect's code; all others are answers of the peer itself. */
const KINDS: Partial<Record<Code, PeerError['kind']>> = {
  [Code.Unavailable]: 'unreachable',
  [Code.Aborted]: 'unreachable',
  [Code.Canceled]: 'unreachable',
  [Code.DeadlineExceeded]: 'timeout',
};

/** Converts whatever a connect call threw to a peer error. */
export const convertConnectError = (thrown: unknown): PeerError => {
  const error = ConnectError.from(thrown);
  return { kind: KINDS[error.code] ?? 'refused', reason: error.rawMessage };
};
