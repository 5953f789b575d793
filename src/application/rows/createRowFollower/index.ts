import type { RowChanges, SharedRow } from '../../ports';
import { hasMissedRows } from '../../../domain/forwarding';
import { waitDelay } from '../../time';
import { buildTableStatement } from '../_lib/buildTableStatement';
import { createAgeTracker } from '../_lib/createAgeTracker';
import { createCallTracker, type StoreCall } from '../_lib/createCallTracker';
import { createRestoreDetector } from '../_lib/createRestoreDetector';
import { createStoreCaller, type StoreAnswer } from '../_lib/createStoreCaller';
import { createTableReplica } from '../_lib/createTableReplica';
import type { RowFollower, RowFollowerDependencies, RowsOrigin } from '../types';

/** Longest pause after a long poll that was answered early without changes. */
const MAX_EARLY_PAUSE_MS = 1000;

/**
 * A waiting call that another table's response has overtaken is aborted after this time: responses
 * sent at the same moment arrive within some milliseconds of each other, even at a busy VM.
 */
const OVERTAKEN_MS = 300;

/** Timers of two machines agree to within this. */
const MAX_TIMER_SKEW_MS = 20;

/**
 * Creates a row follower, which reads all rows of a table once and then polls for changes. A row
 * never goes back to an older version, whichever source it comes from.
 */
export const createRowFollower = (dependencies: RowFollowerDependencies): RowFollower => {
  const { clock, handleRows, isFollowing, log, randomness, store, storeClock, table, times } =
    dependencies;
  const replica = createTableReplica();
  const age = createAgeTracker(clock);
  const restores = createRestoreDetector({ table, clock, log });
  const abort = new AbortController();
  let mustReadAll = false;
  /** The store answered, but nothing was ever written to it: its first rows are polled for. */
  let isStoreEmpty = false;
  /** Monotonic time of the end of the newest outage that another VM reported. */
  let peerOutageEndedAtMs: number | null = null;
  /** Consecutive full reads after which the store could not list the changes. */
  let failedResumes = 0;
  const calls = createCallTracker({
    table,
    clock,
    log,
    handleOutageStart: () => dependencies.handleOutageStart?.(),
    handleOutageEnd: () => dependencies.handleOutageEnd?.(),
  });
  const caller = createStoreCaller({
    table,
    store,
    calls,
    times,
    clock,
    randomness,
    isWanted: () => replica.readVersion() === 0 || mustReadAll || isFollowing(),
    // A VM without rows asks at least once.
    maySend: (attempt) =>
      (attempt === 0 && replica.readVersion() === 0) || (dependencies.maySend?.() ?? true),
    signal: abort.signal,
  });

  const readOutageEndedAtMs = (): number | null => {
    const known = [
      calls.readOutageEndedAtMs(),
      peerOutageEndedAtMs,
      restores.readRestoredAtMs(),
    ].filter((at) => at !== null);
    return known.length === 0 ? null : Math.max(...known);
  };

  const deliverRows = (
    newer: readonly SharedRow[],
    { isRestored, source }: Pick<RowsOrigin, 'isRestored' | 'source'>,
    call: StoreCall | null,
  ): void => {
    if (newer.length > 0) {
      const ageMs = age.readAgeMs();
      log.info('rows taken', {
        table,
        source,
        rows: newer.length,
        version: replica.readVersion(),
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
        call: call?.call ?? 'gossip',
      });
      handleRows(newer, { source, ageMs, isRestored, outageEndedAtMs: readOutageEndedAtMs() });
    }
    if (isRestored) dependencies.handleRestored?.();
  };

  const confirmAsOf = (atMs: number): void => {
    age.recordAsOf(atMs);
    dependencies.handleUpdate?.();
  };

  /** Applies a response of the store. */
  const applyResponse = (call: StoreCall, answer: RowChanges): void => {
    // A read returns all rows, not changes.
    const isSnapshot = call.call === 'read';
    calls.recordSuccess(call);
    const asOfMs = storeClock.convertAnswer({
      sentAtMs: call.sentAtMs,
      storeMs: answer.storeMs ?? null,
    });
    const isRestored = isSnapshot && restores.recordSnapshot(answer.version, replica.readVersion());
    const newer = isSnapshot ? replica.mergeSnapshot(answer) : replica.mergeRows(answer.rows);
    replica.advanceVersion(answer.version);
    deliverRows(newer, { source: 'store', isRestored }, call);
    confirmAsOf(asOfMs);
    dependencies.handleAnswer?.(answer, asOfMs);
  };

  /** Applies an answer; false if the store can no longer list the changes. */
  const handleAnswer = ({ call, changes }: StoreAnswer): boolean => {
    if (changes === null) {
      mustReadAll = true;
      failedResumes += 1;
      return false;
    }
    applyResponse(call, changes);
    if (call.call === 'read') {
      mustReadAll = false;
      isStoreEmpty = replica.readVersion() === 0;
    } else failedResumes = 0;
    return true;
  };

  /** Computes how early a call was answered; a call without changes should use its whole wait. */
  const computeEarlyMs = ({ sentAtMs, waitMs }: StoreCall): number => {
    const earlyMs = sentAtMs + waitMs - clock.readMonotonicMs();
    return earlyMs < MAX_TIMER_SKEW_MS ? 0 : earlyMs;
  };

  const followOnce = async (): Promise<void> => {
    const answer = await caller.follow(
      replica.readVersion(),
      dependencies.readWaitMs(age.readAgeMs()),
    );
    if (!answer || !handleAnswer(answer)) return;
    const hasChanged = (answer.changes?.rows.length ?? 0) > 0;
    const earlyMs = Math.min(MAX_EARLY_PAUSE_MS, computeEarlyMs(answer.call));
    await waitDelay(clock, hasChanged ? dependencies.burstPauseMs : earlyMs);
  };

  const run = async (): Promise<void> => {
    while (!abort.signal.aborted) {
      const isNew = replica.readVersion() === 0;
      if (mustReadAll || (isNew && !isStoreEmpty)) {
        const answer = await caller.readAll();
        if (answer) handleAnswer(answer);
      } else {
        // A VM without rows does not wait, since it cannot follow another VM yet.
        if (!isNew) await dependencies.waitUntilFollowing();
        if (!abort.signal.aborted) await followOnce();
      }
      // The first full read after lost history is not delayed.
      if (failedResumes > 1) {
        await waitDelay(clock, caller.computePauseMs(failedResumes - 1));
      }
    }
  };

  const mergeChanges = (changes: RowChanges, afterVersion: number): void => {
    const isSnapshot = afterVersion === 0;
    const isRestored =
      isSnapshot && restores.recordSnapshot(changes.version, replica.readVersion());
    const newer = isSnapshot ? replica.mergeSnapshot(changes) : replica.mergeRows(changes.rows);
    // Only changes that begin at or before the held version leave no gap.
    if (afterVersion <= replica.readVersion()) replica.advanceVersion(changes.version);
    deliverRows(newer, { source: 'peer', isRestored }, null);
  };

  return {
    start: () => {
      run().catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('row follower stopped unexpectedly', { table, reason });
      });
    },
    stop: () => abort.abort(),
    readVersion: replica.readVersion,
    listChanges: replica.listChanges,
    mergeChanges,
    mergeStatement: (statement, asOfMs) => {
      // The statement is older than the replica, or leaves a gap after it.
      if (statement.version < replica.readVersion() || statement.after > replica.readVersion())
        return;
      const { outageEndedAgoMs } = statement;
      if (outageEndedAgoMs !== null)
        peerOutageEndedAtMs = Math.max(peerOutageEndedAtMs ?? 0, asOfMs - outageEndedAgoMs);
      mergeChanges(statement, statement.after);
      confirmAsOf(asOfMs);
    },
    buildStatement: (afterVersion) => {
      const ageMs = age.readAgeMs();
      const at = readOutageEndedAtMs();
      const outageEndedAgoMs = at === null ? null : clock.readMonotonicMs() - ageMs - at;
      return buildTableStatement({ table, replica, ageMs, outageEndedAgoMs }, afterVersion);
    },
    isStoreReachable: () =>
      replica.readVersion() > 0 &&
      (isFollowing() ? !calls.isInOutage() : age.readAgeMs() <= dependencies.staleMs),
    isStoreAway: calls.isInOutage,
    checkAnswer: (answer, asOfMs) => {
      // Before the first full read the replica is empty, so that it cannot be complete.
      if (replica.readVersion() === 0) return;
      const otherRows = answer.rows.map((row) => row.version);
      const isBehind = (): boolean =>
        hasMissedRows({
          held: replica.readVersion(),
          newest: answer.version,
          otherRowVersions: otherRows,
        });
      if (!isBehind()) {
        replica.advanceVersion(answer.version);
        confirmAsOf(asOfMs);
        return;
      }
      const overtakenCall = caller.readWaiting();
      clock.startTimer(OVERTAKEN_MS, () => {
        if (overtakenCall && overtakenCall === caller.readWaiting() && isBehind())
          caller.renewCall('a response for another table shows a missed change');
      });
    },
    renewCall: caller.renewCall,
    readOnce: async () => {
      const readAll = async (): Promise<boolean> => {
        const answer = await caller.callOnce('read', 0);
        return answer !== null && handleAnswer(answer);
      };
      if (replica.readVersion() === 0 || mustReadAll) return readAll();
      const answer = await caller.callOnce('feed', replica.readVersion());
      return answer !== null && (handleAnswer(answer) || readAll());
    },
    readAgeMs: age.readAgeMs,
  };
};
