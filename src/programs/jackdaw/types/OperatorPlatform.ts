import type { OperatorCalls } from '../../../application/peers';
import type { TargetVm } from '../../../application/configuration';
import type { Clock, Randomness, TableStore } from '../../../application/ports';

/** Connections to the platform and the processes, opened for one command. */
export interface OperatorPlatform {
  /** Name of the operator, recorded in the history. */
  readonly operator: string;
  readonly table: TableStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Client of the processes. */
  readonly calls: OperatorCalls;
  /** Lists the entry VMs of the platform's list and of the settings. */
  listEntryVms(): Promise<readonly TargetVm[]>;
  close(): Promise<void>;
}
