import { isPartFingerprint, type RunOutcome } from '../../../../domain/crashes';
import type { Clock } from '../../../ports';

/** Dependencies of the outcomes. */
export interface OutcomeStoreDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly retentionMs: number;
  /** True if the outcomes of a fingerprint are to be kept longer than those of others. */
  readonly isKept: (fingerprint: string) => boolean;
}

/** Recent outcomes of runs, by fingerprint. */
export interface OutcomeStore {
  /** Adds an outcome; returns false if it is known. */
  add(outcome: RunOutcome): boolean;
  /** Lists the outcomes of a fingerprint, the oldest first. */
  list(fingerprint: string): readonly RunOutcome[];
  listFingerprints(): readonly string[];
  isEmpty(): boolean;
}

/** Maximum numbers of fingerprints, and of outcomes of each. */
const MAX_FINGERPRINTS = 1000;
const MAX_OUTCOMES_PER_FINGERPRINT = 32;

/**
 * Time after which a crash that nobody confirmed counts no more. Servers that are alive are seen to
 * be so within seconds.
 */
const UNCONFIRMED_MS = 10_000;

/** Least time between two removals of old outcomes. */
const REMOVAL_INTERVAL_MS = 1000;

/** Fingerprints removed at a time, as choosing them takes a look at all. */
const REMOVED_AT_ONCE = 100;

/**
 * Outcomes of which a server can have only one: its crash under a part, and its answer to a request.
 * Crashes under copies of one request are kept apart, as their runs began at other times, and so are
 * the answers to requests with one part.
 */
const isSameOutcome = (left: RunOutcome, right: RunOutcome): boolean =>
  left.server === right.server &&
  left.hasCrashed === right.hasCrashed &&
  (left.hasCrashed === isPartFingerprint(left.fingerprint) || left.requestId === right.requestId);

/**
 * An answer that is dated later than a known one by less than this is the same one: ages of outcomes do
 * not include the time that messages travel.
 */
const SAME_ANSWER_MS = 1000;

/** An age or a duration in a message is rounded to whole milliseconds. */
const ROUNDING_MS = 1;

/** True if an outcome says nothing that is not known from an earlier one of the same kind. */
const isRepeated = (known: RunOutcome, outcome: RunOutcome): boolean => {
  if (known.hasCrashed && known.isLate === true && outcome.isLate !== true) return false;
  return known.hasCrashed
    ? known.isConfirmed || !outcome.isConfirmed
    : outcome.atMs < known.atMs + SAME_ANSWER_MS && outcome.ranMs <= known.ranMs + ROUNDING_MS;
};

/** True if a run with a part crashed its server after all, so that its answer proves nothing. */
const isTakenBack = (answer: RunOutcome, crash: RunOutcome): boolean =>
  !answer.hasCrashed &&
  crash.hasCrashed &&
  isPartFingerprint(crash.fingerprint) &&
  answer.server === crash.server &&
  answer.requestId === crash.requestId &&
  answer.ranMs <= crash.ranMs;

/**
 * Creates an empty store of outcomes.
 *
 * If it is full, fingerprints that are not kept go first, and among these the one whose last outcome
 * is the oldest.
 */
export const createOutcomeStore = ({
  clock,
  isKept,
  retentionMs,
}: OutcomeStoreDependencies): OutcomeStore => {
  /** By fingerprint, the most recently updated one last. */
  const outcomesByFingerprint = new Map<string, readonly RunOutcome[]>();

  let removedAtMs = -Infinity;

  const isLive = ({ atMs, isConfirmed }: RunOutcome): boolean =>
    clock.readMonotonicMs() - atMs < (isConfirmed ? retentionMs : UNCONFIRMED_MS);

  const list = (fingerprint: string): readonly RunOutcome[] =>
    outcomesByFingerprint.get(fingerprint)?.filter(isLive) ?? [];

  const removeOldOutcomes = (): void => {
    removedAtMs = clock.readMonotonicMs();
    outcomesByFingerprint.forEach((outcomes, fingerprint) => {
      const kept = outcomes.filter(isLive);
      if (kept.length === 0) outcomesByFingerprint.delete(fingerprint);
      else if (kept.length < outcomes.length) outcomesByFingerprint.set(fingerprint, kept);
    });
    if (outcomesByFingerprint.size <= MAX_FINGERPRINTS) return;
    const fingerprints = [...outcomesByFingerprint.keys()];
    const others = fingerprints.filter((one) => !isKept(one));
    [...others, ...fingerprints.filter(isKept)]
      .slice(0, REMOVED_AT_ONCE)
      .forEach((one) => outcomesByFingerprint.delete(one));
  };

  const isRemovalDue = (): boolean => clock.readMonotonicMs() - removedAtMs >= REMOVAL_INTERVAL_MS;

  return {
    add: (outcome) => {
      const { fingerprint } = outcome;
      const all = list(fingerprint);
      const known = all.filter((one) => !isTakenBack(one, outcome));
      if (known.length < all.length) outcomesByFingerprint.set(fingerprint, known);
      const previous = known.find((one) => isSameOutcome(one, outcome));
      if (previous && isRepeated(previous, outcome)) return false;
      const others = known.filter((one) => one !== previous);
      outcomesByFingerprint.delete(fingerprint);
      outcomesByFingerprint.set(
        fingerprint,
        [...others, outcome]
          .sort((left, right) => left.atMs - right.atMs)
          .slice(-MAX_OUTCOMES_PER_FINGERPRINT),
      );
      if (isRemovalDue() || outcomesByFingerprint.size > MAX_FINGERPRINTS) removeOldOutcomes();
      return true;
    },
    list,
    listFingerprints: () => [...outcomesByFingerprint.keys()],
    isEmpty: () => {
      if (outcomesByFingerprint.size === 0) return true;
      if (isRemovalDue()) removeOldOutcomes();
      return outcomesByFingerprint.size === 0;
    },
  };
};
