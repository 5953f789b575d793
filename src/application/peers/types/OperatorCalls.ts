import type { Result } from 'neverthrow';
import type { PeerError } from './PeerError';

/** Calls that the `jackdaw` command makes to the processes. Addresses are `ip:port`. */
export interface OperatorCalls {
  /** Reads the status of the process, as documented in docs/operators/status.md. */
  readStatus(peerAddress: string): Promise<Result<unknown, PeerError>>;
  /** Lists the routing decisions on a request that the process still holds, oldest first. */
  listDecisions(
    peerAddress: string,
    requestId: string,
  ): Promise<Result<readonly unknown[], PeerError>>;
  /** Starts a graceful shutdown; returns the number of requests still running. */
  drainVm(peerAddress: string): Promise<Result<number, PeerError>>;
}
