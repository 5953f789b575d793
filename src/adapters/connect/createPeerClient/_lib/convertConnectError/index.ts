import { Code, ConnectError } from '@connectrpc/connect';
import type { PeerError } from '../../../../../application/peers';

/** Kinds of failure by connect's code; all others are answers of the peer itself. */
const KIND_BY_CODE: Partial<Record<Code, PeerError['kind']>> = {
  [Code.Unavailable]: 'unreachable',
  [Code.Aborted]: 'unreachable',
  [Code.Canceled]: 'unreachable',
  [Code.DeadlineExceeded]: 'timeout',
};

/** Converts whatever a connect call threw to a peer error. */
export const convertConnectError = (thrown: unknown): PeerError => {
  const error = ConnectError.from(thrown);
  return { kind: KIND_BY_CODE[error.code] ?? 'refused', reason: error.rawMessage };
};
