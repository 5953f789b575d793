import { updateGapStatistics } from '../../../../domain/detection';
import {
  countPromptTokens,
  createEventBuffer,
  splitEvents,
  type StreamEvent,
} from '../../../../domain/forwarding';
import type { ReaderId } from '../../../../domain/generation';
import type { AttemptAnswer } from '../../../ports';
import type { StreamAttempt, StreamRun } from '../../types';
import { isNewStream } from '../isNewStream';
import { logDecision } from '../logDecision';
import { recordHeard } from '../recordHeard';
import { recordPaceSample } from '../recordPaceSample';
import { recordStreamEnd } from '../recordStreamEnd';
import { startSilenceWatch } from '../startSilenceWatch';

/** Maximum size of an event, and of comments between two events: what never ends fills the memory. */
const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Time in which a caller read nothing after which the end of the connection is no evidence against
 * the server: servers cut off responses that remain unread for some seconds.
 */
const MAX_UNREAD_MS = 2000;

/**
 * Reports the first event to the rollouts; only a prompt that was processed at once is a pace
 * sample.
 */
const recordFirstEvent = (run: StreamRun, attempt: StreamAttempt, nowMs: number): void => {
  const { request, servers } = run.context;
  const tokens = countPromptTokens(request);
  const isPaceSample = attempt.wasServerIdle && request.lastEventId === null && tokens > 0;
  const took = isPaceSample ? (nowMs - attempt.sentAtMs) / tokens : null;
  servers.recordOutcome(attempt.server, { isFailure: false, duration: took });
};

/** A resumed run may have had only the harmless rest of a stream to generate. */
const recordRunProgress = (
  { crashes }: StreamRun,
  { headAtMs, heardSinceMs, isFromStart, server }: StreamAttempt,
): void => {
  if (isFromStart && headAtMs !== null)
    crashes.recordProgress(server, { beganAtMs: headAtMs, heardSinceMs });
};

const recordActivity = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
  eventCount: number,
): void => {
  const { clock } = run.dependencies;
  const { request, service } = run.context;
  const nowMs = clock.readMonotonicMs();
  run.dependencies.directory.recordAlive(attempt.server.id, attempt.heardSinceMs);
  recordRunProgress(run, attempt);
  const gapMs = nowMs - attempt.lastActivityMs;
  Object.assign(attempt, { lastActivityMs: nowMs });
  if (attempt.hasDeliveredEvent) {
    Object.assign(attempt, { gaps: updateGapStatistics(attempt.gaps, gapMs) });
    run.paces.recordGap(service, gapMs);
    for (let event = 0; event < eventCount; event += 1)
      attempt.scheduled?.eventGapsMs?.push(gapMs / eventCount);
    return;
  }
  attempt.stopSilenceWatch();
  Object.assign(attempt, { hasDeliveredEvent: true });
  if (run.copy) Object.assign(run, { copy: { ...run.copy, hasData: true } });
  // From the first event on a far shorter silence limit applies.
  Object.assign(attempt, { stopSilenceWatch: startSilenceWatch(run, attempt, reader) });
  attempt.work.recordFirstEvent();
  if (attempt.scheduled) Object.assign(attempt.scheduled, { eventGapsMs: [] });
  recordFirstEvent(run, attempt, nowMs);
  // Only a whole prompt is a sample of prefill time: the prompt of a resumed stream may be cached.
  const isWholePrompt = run.prefillAttempts === 1 && request.lastEventId === null;
  if (run.attempts.size === 1 && isWholePrompt && run.lastEventAtMs === null) {
    const sample = {
      firstTokenMs: nowMs - attempt.sentAtMs,
      promptCharacters: countPromptTokens(request),
    };
    run.paces.recordFirstToken(service, sample);
    // A prompt that waited for others is no pace sample: a VM that had seen only such a prompt took
    // every engine for three times too slow, and refused streams that idle engines could have
    // started.
    if (!attempt.wasServerIdle) return;
    run.paces.recordPrefill(service, sample);
    const { firstTokenMs: tookMs, promptCharacters: tokens } = sample;
    recordPaceSample(run, attempt, { kind: 'prefill', tokens, tookMs });
  }
};

const dispatchEvent = (
  run: StreamRun,
  reader: ReaderId,
  { bytes, id, isEmpty }: StreamEvent,
): void => {
  const { offset } = run.readState();
  // A resumed run may begin with events that the caller already has.
  if (id !== null && id <= offset) return;
  run.dispatch({
    kind: 'batch',
    reader,
    // Comments take no position: a resumed run would skip as many events.
    batch: {
      offset: id === null ? offset : id - 1,
      eventCount: isEmpty ? 0 : 1,
      bytes,
      finishReason: null,
    },
  });
};

const NO_EVENTS = { events: [], rest: Buffer.alloc(0) } as const;

/** True if an event takes the stream on; comments, and events that the caller has, do not. */
const isProgress = (run: StreamRun, { id, isEmpty }: StreamEvent): boolean =>
  !isEmpty && (id === null || id > run.readState().offset);

/**
 * Tells whether a response that ended with its connection was broken off: inside an event, or before
 * the first one.
 */
const hasBrokenOff = (run: StreamRun, attempt: StreamAttempt, restBytes: number): boolean =>
  !attempt.isFramed && (restBytes > 0 || (!attempt.hasDeliveredEvent && isNewStream(run)));

/** A response that ended with its connection, before its last event. */
class EndedTooEarlyError extends Error {}

/** Reads and dispatches the events of an attempt until its response ends. */
export const readStreamEvents = async (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
  { body, readEnd, recordProgress }: Pick<AttemptAnswer, 'body' | 'readEnd' | 'recordProgress'>,
): Promise<void> => {
  const { reply } = run.context;
  const { clock } = run.dependencies;
  const isCurrent = (): boolean => run.attempts.get(reader.attempt) === attempt;
  const buffer = createEventBuffer();
  /** Bytes since the last event that took the stream on. */
  let idleBytes = 0;
  let unreadMs = 0;
  attempt.dating.startWaiting();
  try {
    for await (const chunk of body) {
      if (!isCurrent()) return;
      recordHeard(attempt);
      const held = buffer.addBytes(chunk);
      const { events, rest } = held ? splitEvents(held) : NO_EVENTS;
      if (held) buffer.keepRest(rest);
      const progress = events.filter((event) => isProgress(run, event)).length;
      idleBytes = progress > 0 ? buffer.countBytes() : idleBytes + chunk.length;
      if (idleBytes > MAX_EVENT_BYTES) {
        if (!isCurrent() || (await attempt.migration) === 'stopped') return;
        run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
        logDecision(
          run.dependencies,
          run.context,
          'stream event too long',
          { bytes: idleBytes },
          attempt.server,
        );
        run.dispatch({ kind: 'broken', reader });
        return;
      }
      if (progress > 0) {
        recordProgress();
        recordActivity(run, attempt, reader, progress);
      }
      events.forEach((event) => dispatchEvent(run, reader, event));
      if (isCurrent()) {
        const writtenAtMs = clock.readMonotonicMs();
        await reply.waitForDrain();
        const nowMs = clock.readMonotonicMs();
        unreadMs = nowMs - writtenAtMs;
        // Time in which the caller did not read is not silence of the server.
        Object.assign(attempt, { lastActivityMs: attempt.lastActivityMs + unreadMs });
      }
      attempt.dating.startWaiting();
    }
    if (hasBrokenOff(run, attempt, buffer.countBytes()))
      throw new EndedTooEarlyError('the connection ended too early');
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'the stream broke off';
    // A stopped run is no evidence against its server. Its end is not dispatched here either: the
    // migration does so.
    if ((await attempt.migration) === 'stopped') return;
    const connection = readEnd(error instanceof EndedTooEarlyError ? null : error);
    if (isCurrent() && unreadMs < MAX_UNREAD_MS) {
      recordStreamEnd(run, attempt, connection);
      if (connection === 'reset' || connection === 'closed') {
        run.dependencies.directory.recordSuspicion(attempt.server.id, 'broken');
        run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
      }
    }
    run.dependencies.log.info('stream broke off', {
      requestId: run.context.request.requestId,
      server: attempt.server.id,
      ...run.crashes.readLogFields(),
      offset: run.readState().offset,
      relay: attempt.relay ?? '',
      hadEvents: attempt.hasDeliveredEvent,
      ranMs: Math.round(clock.readMonotonicMs() - (attempt.headAtMs ?? attempt.sentAtMs)),
      isCurrent: isCurrent(),
      unreadMs: Math.round(unreadMs),
      reason,
    });
    run.dispatch({ kind: 'broken', reader });
    return;
  }
  const outcome = await attempt.migration;
  if (outcome === 'stopped') return;
  // The server may have stopped the run after all, so that the end may not be that of the stream.
  if (outcome === 'unclear') {
    run.dispatch({ kind: 'broken', reader });
    return;
  }
  if (buffer.countBytes() > 0) {
    recordStreamEnd(run, attempt, 'closed');
    run.dispatch({ kind: 'broken', reader });
    return;
  }
  recordStreamEnd(run, attempt, readEnd(null), { isWhole: true });
  const { offset } = run.readState();
  const batch = { offset, eventCount: 0, bytes: buffer.readRest(), finishReason: 'end' } as const;
  run.dispatch({ kind: 'batch', reader, batch });
};
