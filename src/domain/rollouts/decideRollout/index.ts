import { RolloutState, type VersionJudgement } from '../types';

/** What the next step of a roll-out follows from. */
export interface RolloutProgress {
  readonly state: RolloutState;
  /** Since the order, in milliseconds. */
  readonly ageMs: number;
  readonly durationMs: number;
  /** Since all new requests go to the new version; 0 before. */
  readonly switchedMs: number;
  readonly judgement: VersionJudgement;
  /** False: no server of another version was there since the order. */
  readonly hasEstablished: boolean;
}

/** Part of the time for which a new version is watched at least: some turn bad later. */
const WATCH_PART = 0.6;

/** By then each VM has heard that it is to send to the new version, and most lookups have ended. */
export const SWITCH_MS = 2500;

/** Left of the time when a version that is not known to be sound is given up. */
const MARGIN_MS = 1000;

/** Servers of another version would have been known by then. */
const ALONE_MS = 2000;

/**
 * Decides the next state of a roll-out.
 *
 * A version that was not shown to be sound in time is reverted: completing a bad one can't be undone,
 * as the servers of the old one are stopped.
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
  if (!hasEstablished && ageMs >= ALONE_MS) return RolloutState.Completed;
  const lastMs = durationMs - SWITCH_MS - MARGIN_MS;
  const watchMs = Math.min(durationMs * WATCH_PART, lastMs);
  if (ageMs > lastMs) return RolloutState.Reverted;
  return judgement.kind === 'sound' && ageMs >= watchMs ? RolloutState.Switching : state;
};
