import type { OperatorCalls } from '../../../application/peers';
import type { TargetVm } from '../../../application/configuration';
import type { Clock, Randomness, TableStore } from '../../../application/ports';

/** The connected platform and processes, for one command. */
export interface OperatorPlatform {
  /** Who changes something, for the history. */
  readonly operator: string;
  readonly table: TableStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Calls to the processes. */
  readonly calls: OperatorCalls;
  /** Entry VMs of the platform's list, with those of the settings. */
  listEntryVms(): Promise<readonly TargetVm[]>;
  close(): Promise<void>;
}
