import type { RowChanges, SharedRow } from '../../ports';
import { hasMissedRows } from '../../../domain/forwarding';
import { waitDelay } from '../../time';
import { createAgeTracker } from '../_lib/createAgeTracker';
import { createCallTracker, type StoreCall } from '../_lib/createCallTracker';
import { createRestoreDetector } from '../_lib/createRestoreDetector';
import { createTableReplica } from '../_lib/createTableReplica';
import type { RowFollower, RowFollowerDependencies, RowsOrigin } from '../types';

const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1000;

/**
 * A waiting call that another table's answer has overtaken is given up after this time: answers of
 * one moment arrive within some ms of each other, also at a VM with much to do.
 */
const OVERTAKEN_MS = 300;

/** Timers of two machines agree within this. */
const EARLY_MS = 20;

/**
 * Creates the follower of a table: it reads all rows once, then waits for changes. A row never
 * goes back to an older version, whichever source tells of it.
 */
export const createRowFollower = (dependencies: RowFollowerDependencies): RowFollower => {
  const { clock, handleRows, isFollowing, log, randomness, store, storeClock, table } =
    dependencies;
  const held = createTableReplica();
  const age = createAgeTracker(clock);
  const eras = createRestoreDetector({ table, clock, log });
  const abort = new AbortController();
  /** The call that waits, and why it is given up, if it is. */
  let waiting: StoreCall | null = null;
  let dropReason: string | null = null;
  let mustReadAll = false;
  /** The store answered, but nothing was ever written to it: its first rows are waited for. */
  let isStoreEmpty = false;
  /** Monotonic time of the end of an outage that another VM told of. */
  let toldOutageEndedAtMs: number | null = null;
  /** Whole reads in a row that the store could not go on from. */
  let vainReads = 0;
  const calls = createCallTracker({
    table,
    clock,
    log,
    handleOutageStart: () => dependencies.handleOutageStart?.(),
  });

  const readOutageEndedAtMs = (): number | null => {
    const known = [
      calls.readOutageEndedAtMs(),
      toldOutageEndedAtMs,
      eras.readRestoredAtMs(),
    ].filter((at) => at !== null);
    return known.length === 0 ? null : Math.max(...known);
  };

  const tellRows = (
    news: readonly SharedRow[],
    { isRestored, source }: Pick<RowsOrigin, 'isRestored' | 'source'>,
  ): void => {
    if (news.length > 0) {
      log.info('rows taken', { table, source, rows: news.length, version: held.readVersion() });
      handleRows(news, { source, isRestored, outageEndedAtMs: readOutageEndedAtMs() });
    }
    if (isRestored) dependencies.handleRestored?.();
  };

  const recordAsOf = (atMs: number): void => {
    age.recordAsOf(atMs);
    dependencies.handleUpdate?.();
  };

  /** Takes an answer of the store; `isWhole`: all rows, not changes. */
  const takeAnswer = (call: StoreCall, answer: RowChanges, isWhole: boolean): void => {
    calls.recordSuccess(call);
    const asOfMs = storeClock.convertAnswer({
      sentAtMs: call.sentAtMs,
      storeMs: answer.storeMs ?? null,
    });
    const isRestored = isWhole && eras.recordSnapshot(answer.version, held.readVersion());
    const news = isWhole ? held.mergeSnapshot(answer) : held.mergeRows(answer.rows);
    held.advanceVersion(answer.version);
    tellRows(news, { source: 'store', isRestored });
    recordAsOf(asOfMs);
    dependencies.handleAnswer?.(answer, asOfMs);
  };

  const readAll = async (): Promise<boolean> => {
    const call = calls.startCall('read', 0);
    const all = await store.readRows(table);
    if (all.isErr()) {
      calls.recordFailure(call, all.error, held.readVersion());
      return false;
    }
    takeAnswer(call, all.value, true);
    mustReadAll = false;
    isStoreEmpty = held.readVersion() === 0;
    return true;
  };

  /** Asks for changes; returns those that came, or null if none could be had. */
  const askForChanges = async (
    call: StoreCall,
    readFailure: (reason: string) => string,
  ): Promise<RowChanges | null> => {
    const signal = AbortSignal.any([abort.signal, call.abort.signal]);
    const version = held.readVersion();
    const answered = await store.followRows(table, { version, waitMs: call.waitMs }, signal);
    if (abort.signal.aborted) return null;
    if (answered.isOk()) {
      vainReads = 0;
      takeAnswer(call, answered.value, false);
      return answered.value;
    }
    const { error } = answered;
    const told =
      error.kind === 'unavailable' ? { ...error, reason: readFailure(error.reason) } : error;
    calls.recordFailure(call, told, version);
    if (error.kind === 'history-lost') {
      mustReadAll = true;
      vainReads += 1;
    }
    return null;
  };

  /** By how much a call was answered before its time was over: without changes it should not be. */
  const computeEarlyMs = ({ sentAtMs, waitMs }: StoreCall): number => {
    const earlyMs = sentAtMs + waitMs - clock.readMonotonicMs();
    return earlyMs < EARLY_MS ? 0 : earlyMs;
  };

  const followOnce = async (): Promise<void> => {
    // After a failure a call that waits could not tell the end of an outage from its going on.
    const waitMs =
      calls.countConsecutiveFailures() > 0 ? 0 : dependencies.readWaitMs(age.readAgeMs());
    const call = calls.startCall('feed', waitMs);
    waiting = call;
    dropReason = null;
    const changes = await askForChanges(call, (reason) => dropReason ?? reason);
    waiting = null;
    if (changes && changes.rows.length > 0) await waitDelay(clock, dependencies.burstPauseMs);
    else if (changes) await waitDelay(clock, Math.min(MAX_RETRY_MS, computeEarlyMs(call)));
  };

  const run = async (): Promise<void> => {
    while (!abort.signal.aborted) {
      const isNew = held.readVersion() === 0;
      if (mustReadAll || (isNew && !isStoreEmpty)) await readAll();
      else {
        // Who knows nothing yet has no other VM to follow.
        if (!isNew) await dependencies.waitUntilFollowing();
        if (!abort.signal.aborted) await followOnce();
      }
      // The first whole read after a loss is not put off.
      const failures = Math.max(calls.countConsecutiveFailures(), vainReads - 1);
      if (failures > 0) {
        const boundMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1));
        await waitDelay(clock, boundMs * (0.5 + randomness.readFraction() / 2));
      }
    }
  };

  const dropCall = (reason: string): void => {
    if (!waiting) return;
    dropReason = reason;
    waiting.abort.abort();
  };

  const mergeChanges = (changes: RowChanges, afterVersion: number): void => {
    const isWhole = afterVersion === 0;
    const isRestored = isWhole && eras.recordSnapshot(changes.version, held.readVersion());
    const news = isWhole ? held.mergeSnapshot(changes) : held.mergeRows(changes.rows);
    // Only news that begin where this VM stands leave no gap.
    if (afterVersion <= held.readVersion()) held.advanceVersion(changes.version);
    tellRows(news, { source: 'peer', isRestored });
  };

  return {
    start: () => {
      run().catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('following stopped unexpectedly', { table, reason });
      });
    },
    stop: () => abort.abort(),
    readVersion: held.readVersion,
    listChanges: held.listChanges,
    mergeChanges,
    mergeStatement: (statement, asOfMs) => {
      // Older, or with a gap before it.
      if (statement.version < held.readVersion() || statement.after > held.readVersion()) return;
      const { outageEndedAgoMs } = statement;
      if (outageEndedAgoMs !== null)
        toldOutageEndedAtMs = Math.max(toldOutageEndedAtMs ?? 0, asOfMs - outageEndedAgoMs);
      mergeChanges(statement, statement.after);
      recordAsOf(asOfMs);
    },
    buildStatement: (afterVersion) => {
      const changes = held.listChanges(afterVersion);
      const given = changes ?? held.listChanges(0) ?? { rows: [], version: 0 };
      const ageMs = age.readAgeMs();
      const outageEndedAtMs = readOutageEndedAtMs();
      return {
        table,
        after: changes ? afterVersion : 0,
        rows: given.rows,
        version: given.version,
        ageMs,
        outageEndedAgoMs:
          outageEndedAtMs === null ? null : clock.readMonotonicMs() - ageMs - outageEndedAtMs,
      };
    },
    isStoreReachable: () =>
      held.readVersion() > 0 &&
      (isFollowing() ? !calls.isInOutage() : age.readAgeMs() <= dependencies.staleMs),
    checkAnswer: (answer, asOfMs) => {
      // Before the first whole read nothing is known of the rows that were there.
      if (held.readVersion() === 0) return;
      const otherRows = answer.rows.map((row) => row.version);
      const isBehind = (): boolean =>
        hasMissedRows({
          held: held.readVersion(),
          newest: answer.version,
          otherRowVersions: otherRows,
        });
      if (!isBehind()) {
        held.advanceVersion(answer.version);
        recordAsOf(asOfMs);
        return;
      }
      const overtaken = waiting;
      clock.startTimer(OVERTAKEN_MS, () => {
        if (overtaken && overtaken === waiting && isBehind()) dropCall('overtaken');
      });
    },
    abortCall: dropCall,
    readOnce: async () => {
      if (held.readVersion() === 0 || mustReadAll) return readAll();
      const call = calls.startCall('feed', 0);
      const changes = await askForChanges(call, (reason) => reason);
      return changes !== null || (mustReadAll && readAll());
    },
    readAgeMs: age.readAgeMs,
  };
};
