import type { DrainOutcome } from '../../../application/shutdown';
import type { RoutingDecision } from '../../../domain/types';

/** A running entry. */
export interface Entry {
  /** Base URL for callers. */
  readonly callerUrl: string;
  /** `ip:port` at which peers and operators reach this entry. */
  readonly peerAddress: string;
  /** Resolves when a configuration is in force on this VM. */
  waitForConfiguration(): Promise<void>;
  /** Stops accepting work; resolves when all running work has ended or was handed over. */
  drain(): Promise<DrainOutcome>;
  /** Resolves when a drain has ended, whoever requested it. */
  waitForDrain(): Promise<DrainOutcome>;
  /** Stops at once and removes the VM's registration; running work is aborted. */
  stop(): Promise<void>;
  /** Lists the decisions about a request that are still in memory, oldest first. */
  listDecisions(requestId: string): readonly RoutingDecision[];
  readConfigurationVersion(): number;
}

/** Why an entry did not start. */
export interface EntryStartError {
  readonly kind: 'cannot-listen';
  readonly reason: string;
}
