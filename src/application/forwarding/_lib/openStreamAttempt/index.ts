import { isRefusalUnstated, type AnswerHead } from '../../../../domain/forwarding';
import type { ReaderId } from '../../../../domain/generation';
import type { AttemptAnswer } from '../../../ports';
import type { HeldCopy, StreamAttempt, StreamRun } from '../../types';
import { buildFailureFields, REFUSAL_FIELDS } from '../buildFailureFields';
import { buildStreamAttempt, countPrefillTokens } from '../buildStreamAttempt';
import { closeStreamAttempt } from '../closeStreamAttempt';
import {
  prepareStreamAttempt,
  type OpenAttemptEffect,
  type PreparedAttempt,
} from '../prepareStreamAttempt';
import { readStreamEvents } from '../readStreamEvents';
import { readBody } from '../readBody';
import { recordArrival } from '../recordArrival';
import { recordHeard } from '../recordHeard';
import { recordResponseHead } from '../recordResponseHead';
import { recordAttemptFailure } from '../recordAttemptFailure';
import { logDecision } from '../logDecision';
import { recordStreamEnd } from '../recordStreamEnd';
import { releaseCopy } from '../releaseCopy';
import { startCopyWatch } from '../startCopyWatch';
import { startSilenceWatch } from '../startSilenceWatch';
import { replaceCopy } from '../replaceCopy';

const OK_STATUS = 200;
const SERVER_ERROR_STATUS = 500;

/** Releases the grant of an attempt that did not start a run. */
const cancelGrant = (attempt: StreamAttempt): void => {
  if (!attempt.scheduled?.grant) return;
  attempt.scheduled.grant.cancel();
  Object.assign(attempt, { scheduled: null });
};

const handleErrorResponse = async (
  run: StreamRun,
  reader: ReaderId,
  attempt: StreamAttempt,
  { body, head }: AttemptAnswer,
  copy: HeldCopy | null,
): Promise<void> => {
  if (head.isNotExecuted) {
    // The rest of the body is read, so that the connection is released.
    cancelGrant(attempt);
    releaseCopy(run, copy, attempt.server.id);
    await readBody(body, run.context.reply.acquireBytes);
    run.dispatch({ kind: 'not-started', reader, refused: false });
    return;
  }
  run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
  const read = head.isVerified ? await readBody(body, run.context.reply.acquireBytes) : null;
  // Its caller would take the stream for one that did not run, and repeat it.
  if (!run.context.route.resumable && isRefusalUnstated(head)) {
    run.dispatch({ kind: 'broken', reader });
    return;
  }
  if (read?.isOk()) Object.assign(run, { failedResponse: { head, body: read.value } });
  if (read?.isOk() && head.status < SERVER_ERROR_STATUS) {
    run.dispatch({
      kind: 'rejected',
      reader,
      status: head.status,
      message: 'rejected by the server',
    });
    return;
  }
  run.dispatch({ kind: 'broken', reader });
};

const beginReply = (run: StreamRun, head: AnswerHead): void => {
  const { reply } = run.context;
  if (!reply.hasSentHead() && reply.isOpen()) reply.sendHead(head);
};

const sendStreamAttempt = async (
  run: StreamRun,
  reader: ReaderId,
  { permit, placement, retry }: PreparedAttempt,
): Promise<void> => {
  const { client, clock, directory } = run.dependencies;
  const { context } = run;
  const { backup, copy, server } = placement;
  const attempt = buildStreamAttempt(run, placement, reader);
  run.attempts.set(reader.attempt, attempt);
  replaceCopy(run, backup);
  const { offset } = run.readState();
  const remainingMs = context.deadlineAtMs - clock.readMonotonicMs();
  logDecision(
    run.dependencies,
    context,
    'stream sent',
    {
      attempt: reader.attempt,
      ...run.crashes.readLogFields(),
      isTrial: run.isTrial,
      offset,
      fromCopy: copy !== null,
      backup: backup?.id ?? '',
      leftMs: Math.round(remainingMs),
      ...placement.estimate,
      isFree: placement.isFree,
      predictedMs: Math.round(placement.predictedMs ?? -1),
    },
    server,
  );
  const prefillTokens = countPrefillTokens(run, placement);
  if (prefillTokens > 0) run.dependencies.tellPrompt(server.id, prefillTokens);
  context.servers.recordSent(server);
  context.steps.enterStep('attempt');
  run.dispatch({ kind: 'sending', reader, backendServer: server.id });
  attempt.stopSilenceWatch = startSilenceWatch(run, attempt, reader);
  attempt.stopCopyWatch = startCopyWatch(run, attempt, reader);
  // From now on: another attempt may replace it before it ends.
  const arrival = run.arrivals.startAttempt(retry);
  const sent = await client.sendAttempt(
    {
      server,
      request: context.request,
      workspace: context.holder?.workspace ?? null,
      priority: context.priority,
      remainingMs,
      lastEventId: offset > 0 ? offset : context.request.lastEventId,
      backupAddress: backup?.address ?? null,
      copy,
      newConnection: true,
    },
    attempt.abort.signal,
  );
  if (sent.isOk()) arrival.recordRead();
  else if (sent.error.kind === 'not-started') arrival.recordUnsent();
  else recordArrival(arrival, server.id, { ...sent.error, progress: 'none' });
  const isCurrent = run.attempts.get(reader.attempt) === attempt;
  if (!isCurrent) return closeStreamAttempt(run, reader.attempt);
  if (sent.isErr()) {
    Object.assign(attempt, { relay: sent.error.relay });
    recordAttemptFailure(directory, server.id, sent.error);
    recordStreamEnd(run, attempt, sent.error.connection);
    logDecision(
      run.dependencies,
      context,
      'stream attempt failed',
      {
        attempt: reader.attempt,
        outcome: sent.error.kind,
        ...buildFailureFields(sent.error),
      },
      server,
    );
    const isRefused = sent.error.kind === 'not-started';
    if (sent.error.kind === 'broken') {
      context.servers.recordOutcome(server, { isFailure: true, duration: null });
    }
    if (isRefused) {
      cancelGrant(attempt);
      releaseCopy(run, copy, server.id);
      permit.release();
    }
    return run.dispatch(
      isRefused ? { kind: 'not-started', reader, refused: true } : { kind: 'broken', reader },
    );
  }
  const { head, relay } = sent.value;
  if (relay !== null) logDecision(run.dependencies, context, 'attempt relayed', { relay }, server);
  recordResponseHead(run.dependencies, server, head, { relay, sentAtMs: attempt.sentAtMs });
  if (head.status !== OK_STATUS || !head.isVerified) {
    logDecision(
      run.dependencies,
      context,
      'stream attempt failed',
      {
        attempt: reader.attempt,
        status: head.status,
        notRun: head.isNotExecuted,
        ...(head.isNotExecuted ? REFUSAL_FIELDS : {}),
      },
      server,
    );
    if (head.isNotExecuted && !head.isFromOtherServer) permit.finish({ isRejected: true });
    return handleErrorResponse(run, reader, attempt, sent.value, copy);
  }
  const { isFramed } = head;
  Object.assign(attempt, { relay, isFramed, headAtMs: clock.readMonotonicMs() });
  recordHeard(attempt);
  directory.recordSuccess(server.id, attempt.heardSinceMs);
  beginReply(run, head);
  return readStreamEvents(run, attempt, reader, sent.value);
};

/** Sends one attempt of a stream and reads the response. */
export const openStreamAttempt = async (
  run: StreamRun,
  opening: OpenAttemptEffect,
): Promise<void> => {
  const prepared = await prepareStreamAttempt(run, opening);
  if (!prepared) return;
  try {
    await sendStreamAttempt(run, opening.reader, prepared);
  } finally {
    prepared.permit.finish({ isRejected: false });
  }
};
