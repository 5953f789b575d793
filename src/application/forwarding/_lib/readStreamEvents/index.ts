import { updateGapStatistics } from '../../../../domain/detection';
import { countPromptTokens, splitEvents, type StreamEvent } from '../../../../domain/forwarding';
import type { ReaderId } from '../../../../domain/generation';
import type { StreamAttempt, StreamRun } from '../../types';
import { recordCrash } from '../recordCrash';
import { startSilenceWatch } from '../startSilenceWatch';

/** Tells roll-outs how a server fared; only a prompt that it read at once says how fast it is. */
const recordFirstEvent = (run: StreamRun, attempt: StreamAttempt, nowMs: number): void => {
  const { request, servers } = run.context;
  const tokens = countPromptTokens(request);
  const saysPace = attempt.wasServerIdle && request.lastEventId === null && tokens > 0;
  const took = saysPace ? (nowMs - attempt.sentAtMs) / tokens : null;
  servers.recordOutcome(attempt.server, { isFailure: false, duration: took });
};

const recordActivity = (run: StreamRun, attempt: StreamAttempt, reader: ReaderId): void => {
  const { clock } = run.dependencies;
  const { request, service } = run.context;
  const nowMs = clock.readMonotonicMs();
  run.dependencies.directory.recordAlive(attempt.server.id);
  const gapMs = nowMs - attempt.lastActivityMs;
  Object.assign(attempt, { lastActivityMs: nowMs });
  if (attempt.hasDeliveredEvent) {
    Object.assign(attempt, { gaps: updateGapStatistics(attempt.gaps, gapMs) });
    run.paces.recordGap(service, gapMs);
    return;
  }
  attempt.stopSilenceWatch();
  Object.assign(attempt, { hasDeliveredEvent: true });
  if (run.copy) Object.assign(run, { copy: { ...run.copy, hasData: true } });
  // The limit is another one from here on, and a far shorter one.
  Object.assign(attempt, { stopSilenceWatch: startSilenceWatch(run, attempt, reader) });
  attempt.work.recordFirstEvent();
  recordFirstEvent(run, attempt, nowMs);
  // Only a whole prompt says how long one takes: that of a caller who comes back may be cached.
  const isWhole = run.prefillAttempts === 1 && request.lastEventId === null;
  if (run.attempts.size === 1 && isWhole && run.lastEventAtMs === null) {
    const sample = {
      firstTokenMs: nowMs - attempt.sentAtMs,
      promptCharacters: countPromptTokens(request),
    };
    run.paces.recordFirstToken(service, sample);
    // One that waited for others says little of the pace: a VM that had seen only such a one took
    // every engine for three times too slow, and refused what free ones could have begun.
    if (attempt.wasServerIdle) run.paces.recordPrefill(service, sample);
  }
};

const dispatchEvent = (run: StreamRun, reader: ReaderId, { bytes, id }: StreamEvent): void => {
  const { offset } = run.readState();
  // Events of a run that went on may begin with some that the caller has already.
  if (id !== null && id <= offset) return;
  run.dispatch({
    kind: 'batch',
    reader,
    batch: { offset: id === null ? offset : id - 1, eventCount: 1, bytes, finishReason: null },
  });
};

/** Reads the events of an attempt until its answer ends, and dispatches what comes. */
export const readStreamEvents = async (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
  body: AsyncIterable<Buffer>,
): Promise<void> => {
  const { reply } = run.context;
  const isCurrent = (): boolean => run.attempts.get(reader.attempt) === attempt;
  let rest: Buffer = Buffer.alloc(0);
  try {
    for await (const chunk of body) {
      if (!isCurrent()) return;
      const split = splitEvents(rest.length === 0 ? chunk : Buffer.concat([rest, chunk]));
      rest = split.rest;
      if (split.events.length > 0) recordActivity(run, attempt, reader);
      split.events.forEach((event) => dispatchEvent(run, reader, event));
      if (isCurrent()) {
        await reply.waitForDrain();
        // The time in which the caller did not read is no silence of the server.
        Object.assign(attempt, { lastActivityMs: run.dependencies.clock.readMonotonicMs() });
      }
    }
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'the stream broke off';
    // What was asked to stop is no evidence; nor does it tell the end of the move, which dispatches.
    if (attempt.isMigrating) return;
    if (isCurrent()) {
      run.dependencies.directory.recordSuspicion(attempt.server.id, 'broken');
      run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
      recordCrash(run, attempt);
    }
    run.dependencies.log.info('stream broke off', {
      requestId: run.context.request.requestId,
      server: attempt.server.id,
      fingerprint: run.fingerprint,
      offset: run.readState().offset,
      hadEvents: attempt.hasDeliveredEvent,
      ranMs: Math.round(
        run.dependencies.clock.readMonotonicMs() - (attempt.headAtMs ?? attempt.sentAtMs),
      ),
      isCurrent: isCurrent(),
      reason,
    });
    run.dispatch({ kind: 'broken', reader });
    return;
  }
  if (attempt.isMigrating) return;
  if (rest.length > 0) {
    run.dispatch({ kind: 'broken', reader });
    return;
  }
  const { offset } = run.readState();
  const batch = { offset, eventCount: 0, bytes: rest, finishReason: 'end' } as const;
  run.dispatch({ kind: 'batch', reader, batch });
};
