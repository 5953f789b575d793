import { Code, ConnectError } from '@connectrpc/connect';
import type { PeerError } from '../../../../../application/peers';

/** Kinds of error by Connect code; every other code is a response of the peer itself. */
const KIND_BY_CODE: Partial<Record<Code, PeerError['kind']>> = {
  [Code.Unavailable]: 'unreachable',
  [Code.Aborted]: 'unreachable',
  [Code.Canceled]: 'unreachable',
  [Code.DeadlineExceeded]: 'timeout',
};

/** Converts the error thrown by a Connect call to a peer error. */
export const convertConnectError = (thrown: unknown): PeerError => {
  const error = ConnectError.from(thrown);
  return { kind: KIND_BY_CODE[error.code] ?? 'refused', reason: error.rawMessage };
};
