import type { DrainOutcome } from '../../../application/shutdown';
import type { RoutingDecision } from '../../../domain/types';

/** A running entry. */
export interface Entry {
  /** Base URL for callers. */
  readonly callerUrl: string;
  /** `ip:port` for peers and operators. */
  readonly peerAddress: string;
  /** Resolves when a configuration is in force here. */
  waitForConfiguration(): Promise<void>;
  /** Takes no new work and resolves when all running work has ended or was handed over. */
  drain(): Promise<DrainOutcome>;
  /** Resolves when a drain, whoever asked for it, is over. */
  waitForDrain(): Promise<DrainOutcome>;
  /** Stops at once and removes the VM's registration; what still runs breaks off. */
  stop(): Promise<void>;
  /** Decisions of one request that are still held, oldest first. */
  listDecisions(requestId: string): readonly RoutingDecision[];
  readConfigurationVersion(): number;
}

/** Why an entry did not start. */
export interface EntryStartError {
  readonly kind: 'cannot-listen';
  readonly reason: string;
}
