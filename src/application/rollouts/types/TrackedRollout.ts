import type { RolloutOrder, RolloutState } from '../../../domain/rollouts';
import type { TrialTallies } from '../_lib/createTrialTallies';

/** Mutable state of a rollout on this VM; verdicts change it. */
export interface TrackedRollout {
  order: RolloutOrder;
  /** Monotonic time of the order; null while the age of an order before this process is unknown. */
  startedAtMs: number | null;
  state: RolloutState;
  /** True if the shared store holds this state. */
  isStored: boolean;
  changedAtMs: number;
  /** True if a server of the established version was seen. */
  hasEstablished: boolean;
  /** True while no further trials may be sent. */
  isPaused: boolean;
  requests: number;
  trials: number;
  /** Random fraction of this VM, for its share of the trials. */
  readonly draw: number;
  readonly tallies: TrialTallies;
}
