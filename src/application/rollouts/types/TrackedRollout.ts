import type { RolloutOrder, RolloutState } from '../../../domain/rollouts';
import type { TrialTallies } from '../_lib/createTrialTallies';

/** A roll-out as a VM holds it; it changes as verdicts come. */
export interface TrackedRollout {
  order: RolloutOrder;
  /** Monotonic; null if the order is older than this process and nobody said how old. */
  startedAtMs: number | null;
  state: RolloutState;
  isStored: boolean;
  changedAtMs: number;
  hasEstablished: boolean;
  isPaused: boolean;
  requests: number;
  trials: number;
  readonly draw: number;
  readonly tallies: TrialTallies;
}
