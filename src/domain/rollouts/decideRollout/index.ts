import { RolloutState, type VersionJudgement } from '../types';

/** Progress of a roll-out, from which its next state follows. */
export interface RolloutProgress {
  readonly state: RolloutState;
  /** Time since the order, in milliseconds. */
  readonly ageMs: number;
  /** Time that the order allows for the roll-out. */
  readonly durationMs: number;
  /** Time since all new requests go to the new version; 0 before. */
  readonly switchedMs: number;
  readonly judgement: VersionJudgement;
  /** False if the service has had no server of another version since the order. */
  readonly hasEstablished: boolean;
}

/** Fraction of the time for which a new version is observed at least: some turn bad later. */
const OBSERVED_FRACTION = 0.6;

/** Time in which all VMs learn to send to the new version, and most lookups end. */
export const SWITCH_MS = 2500;

/** Time left when a version that has not been shown to be sound is given up. */
const MARGIN_MS = 1000;

/** Time in which a VM learns of servers of other versions. */
const DISCOVERY_MS = 2000;

/**
 * Decides the next state of a roll-out.
 *
 * A version that has not been shown to be sound in time is reverted. Completing a bad version can't
 * be undone, since the servers of the old version are stopped.
 *
 * @example
 * decideRollout({ ...progress, judgement: { kind: 'bad', route: 'r', reason: '' } }); // 'reverted'
 */
export const decideRollout = ({
  ageMs,
  durationMs,
  hasEstablished,
  judgement,
  state,
  switchedMs,
}: RolloutProgress): RolloutState => {
  if (state === RolloutState.Completed || state === RolloutState.Reverted) return state;
  if (judgement.kind === 'bad') return RolloutState.Reverted;
  if (state === RolloutState.Switching) {
    return switchedMs >= SWITCH_MS ? RolloutState.Completed : state;
  }
  if (!hasEstablished && ageMs >= DISCOVERY_MS) return RolloutState.Completed;
  const lastMs = durationMs - SWITCH_MS - MARGIN_MS;
  const observedMs = Math.min(durationMs * OBSERVED_FRACTION, lastMs);
  if (ageMs > lastMs) return RolloutState.Reverted;
  return judgement.kind === 'sound' && ageMs >= observedMs ? RolloutState.Switching : state;
};
