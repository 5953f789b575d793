import { countPromptTokens } from '../../../../domain/forwarding';
import type { ReaderId } from '../../../../domain/generation';
import { createSendDating } from '../../../time';
import type { StreamAttempt, StreamRun, StreamPlacement } from '../../types';
import { buildScheduledRun } from '../buildScheduledRun';
import { isNewStream } from '../isNewStream';
import { recordStreamEnd } from '../recordStreamEnd';

/** Counts the prompt tokens that the server has to process. */
export const countPrefillTokens = (
  run: StreamRun,
  { copy, isPromptCached }: StreamPlacement,
): number => (copy || isPromptCached ? 0 : countPromptTokens(run.context.request));

/** Builds the state of an attempt that is about to be sent, and counts its work at the server. */
export const buildStreamAttempt = (
  run: StreamRun,
  placement: StreamPlacement,
  reader: ReaderId,
): StreamAttempt => {
  const { clock, directory } = run.dependencies;
  const { expectedFirstEventMs, isFree, server } = placement;
  const nowMs = clock.readMonotonicMs();
  const handleLoss = (): void => {
    const attempt = run.attempts.get(reader.attempt);
    if (attempt) recordStreamEnd(run, attempt, 'silent');
    run.dispatch({ kind: 'silent', reader, confirmed: true });
  };
  return {
    abort: new AbortController(),
    server,
    work: directory.startWork(server.id, {
      prefillTokens: countPrefillTokens(run, placement),
      // The server has lost this run, even if its connection is still open.
      handleLoss,
    }),
    isFromStart: isNewStream(run) && placement.copy === null,
    sentAtMs: nowMs,
    headAtMs: null,
    isFramed: true,
    relay: null,
    lastActivityMs: nowMs,
    dating: createSendDating(clock),
    heardSinceMs: nowMs,
    gaps: run.paces.readInitialGaps(run.context.service),
    hasDeliveredEvent: false,
    wasServerIdle: isFree,
    expectedFirstEventMs,
    scheduled: buildScheduledRun(run, placement),
    stopSilenceWatch: () => undefined,
    stopCopyWatch: () => undefined,
    migration: null,
  };
};
