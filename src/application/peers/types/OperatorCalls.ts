import type { Result } from 'neverthrow';
import type { PeerError } from './PeerError';

/** Calls that `jackdaw` makes to the processes. Addresses are `ip:port`. */
export interface OperatorCalls {
  /** Reads what the process holds, as documented in docs/operators/status.md. */
  readStatus(peerAddress: string): Promise<Result<unknown, PeerError>>;
  /** Reads the routing decisions that the process still holds of one request, oldest first. */
  listDecisions(
    peerAddress: string,
    requestId: string,
  ): Promise<Result<readonly unknown[], PeerError>>;
  /** Begins a graceful shutdown; gives the number of requests still running. */
  drainVm(peerAddress: string): Promise<Result<number, PeerError>>;
}
