import {
  StreamRetention,
  createGenerationState,
  updateGeneration,
  type GenerationEffect,
  type GenerationFailure,
  type GenerationInput,
} from '../../../../domain/generation';
import { RunState, SurvivalMode } from '../../../../domain/types';
import { createRequestCrashTracker } from '../../../crashes';
import { createRequestArrivals } from '../../createRequestArrivals';
import { createInputQueue } from '../../../_lib/createInputQueue';
import type { ForwardContext, ForwardingDependencies, Refusal, StreamRun } from '../../types';
import { closeStreamAttempt } from '../closeStreamAttempt';
import { openStreamAttempt } from '../openStreamAttempt';
import { recallWaitingAttempts } from '../recallWaitingAttempts';
import { recordDecodeSample } from '../recordDecodeSample';
import { recordStreamEnd } from '../recordStreamEnd';
import { logDecision } from '../logDecision';
import { refuseQuarantined } from '../refuseQuarantined';

/** Builds the initial state: the position is an event id instead of a token offset. */
const buildState = ({ request, route }: ForwardContext) =>
  createGenerationState(
    {
      mode: SurvivalMode.Thrift,
      idempotent: route.resumable,
      keyed: false,
      continuable: true,
      maxOutputTokens: Infinity,
      streamRetention: StreamRetention.Dropped,
    },
    { offset: request.lastEventId ?? 0 },
  );

const buildRefusal = (failure: GenerationFailure): Refusal => ({
  kind: failure.runState === RunState.NotRun ? 'not-run' : 'lost',
  reason: failure.message,
  retryAfterMs: failure.runState === RunState.NotRun ? failure.retryAfterMs : 0,
});

/**
 * Forwards a stream. If its server is lost, the stream continues at another server within the same
 * response.
 *
 * `updateGeneration` decides the steps, as for engines that number tokens. Here the position is an
 * event id, and a run ends with its connection.
 *
 * @returns the outcome, for the metrics
 */
export const forwardStream = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  { overload, paces }: Pick<StreamRun, 'overload' | 'paces'>,
): Promise<string> =>
  new Promise((resolve) => {
    const { clock, crashes, log, meter } = dependencies;
    const { reply, request } = context;
    const queue = createInputQueue<GenerationInput>();
    let state = buildState(context);
    let cancelRetry = (): void => undefined;
    let cancelDeadline = (): void => undefined;
    let cancelListener = (): void => undefined;
    let removeExitListener = (): void => undefined;
    let firstEventMs: number | null = null;
    const ended = new AbortController();

    // Assigned below: the run and its end depend on each other.
    let refuse: StreamRun['refuse'] = () => undefined;

    const run: StreamRun = {
      dependencies,
      context,
      crashes: createRequestCrashTracker(dependencies, request, context.holder?.workspace ?? null),
      paces,
      overload,
      attempts: new Map(),
      readState: () => state,
      dispatch: queue.push,
      isEnded: () => ended.signal.aborted,
      ended: ended.signal,
      refuse: (refusal) => refuse(refusal),
      copy: null,
      prefillAttempts: 0,
      arrivals: createRequestArrivals(dependencies),
      reservedRetry: null,
      isTrial: false,
      lastEventAtMs: null,
      longestPauseMs: 0,
      failedResponse: null,
    };

    const end = (outcome: string): void => {
      if (ended.signal.aborted) return;
      ended.abort();
      cancelRetry();
      cancelDeadline();
      cancelListener();
      removeExitListener();
      [...run.attempts.keys()].forEach((attempt) => closeStreamAttempt(run, attempt));
      run.copy?.release();
      run.reservedRetry?.release();
      if (outcome === 'answered' && firstEventMs !== null) {
        const tookMs = clock.readMonotonicMs() - request.arrivedAtMs;
        paces.recordRunDuration(context.service, tookMs - firstEventMs);
      }
      logDecision(dependencies, context, 'stream ended', {
        outcome,
        offset: state.offset,
        attempts: state.newestAttempt,
        prompts: run.prefillAttempts,
        firstEventMs: Math.round(firstEventMs ?? -1),
        longestPauseMs: Math.round(run.longestPauseMs),
      });
      resolve(outcome);
    };

    refuse = (refusal) => {
      if (reply.hasSentHead()) reply.destroy();
      else reply.sendRefusal(refusal);
      end(refusal.kind);
    };

    const fail = (failure: GenerationFailure): void => {
      if (!reply.isOpen()) return end('left');
      logDecision(dependencies, context, 'stream failed', {
        code: failure.code,
        reason: failure.message,
        runState: failure.runState,
        offset: state.offset,
        isCut: reply.hasSentHead(),
        prompts: run.prefillAttempts,
        maxPrompts: context.route.maxAttempts,
        isResumable: context.route.resumable,
        currentConfiguration: dependencies.tables.readCurrent()?.version ?? 0,
      });
      if (reply.hasSentHead()) reply.destroy();
      else if (run.failedResponse) {
        reply.sendResponse(run.failedResponse.head, run.failedResponse.body);
      } else reply.sendRefusal(buildRefusal(failure));
      return end(failure.code);
    };

    const deliver = (effect: Extract<GenerationEffect, { kind: 'deliver' }>): void => {
      const { batch } = effect;
      if ('tokenIds' in batch || batch.bytes.length === 0) return;
      const nowMs = clock.readMonotonicMs();
      const pauseMs = nowMs - (run.lastEventAtMs ?? nowMs);
      firstEventMs ??= nowMs - request.arrivedAtMs;
      run.longestPauseMs = Math.max(run.longestPauseMs, pauseMs);
      run.lastEventAtMs = nowMs;
      reply.write(batch.bytes);
    };

    const open = (effect: Extract<GenerationEffect, { kind: 'open-attempt' }>): void => {
      if (effect.reader.attempt > 1) {
        const pauseMs =
          run.lastEventAtMs === null ? 0 : clock.readMonotonicMs() - run.lastEventAtMs;
        meter.recordResume(pauseMs, run.copy ? 'copy' : 'prompt');
      }
      openStreamAttempt(run, effect).catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('attempt failed unexpectedly', { requestId: request.requestId, reason });
        queue.push({ kind: 'broken', reader: effect.reader });
      });
    };

    const runEffect = (effect: GenerationEffect): void => {
      if (ended.signal.aborted) return;
      if (effect.kind === 'open-attempt') open(effect);
      else if (effect.kind === 'cancel-attempt') closeStreamAttempt(run, effect.attempt);
      else if (effect.kind === 'deliver') deliver(effect);
      else if (effect.kind === 'suspect-server') {
        dependencies.directory.recordSuspicion(
          effect.backendServer,
          effect.cause === 'silence' ? 'silent' : 'not-connected',
        );
      } else if (effect.kind === 'retry-later') {
        cancelRetry = clock.startTimer(effect.delayMs, () => queue.push({ kind: 'retry-due' }));
      } else if (effect.kind === 'finish') {
        reply.end();
        recordDecodeSample(run);
        end('answered');
      } else if (effect.kind === 'fail') fail(effect.failure);
    };

    queue.setHandler((input) => {
      if (ended.signal.aborted) return;
      const next = updateGeneration(state, input);
      state = next.state;
      next.effects.forEach(runEffect);
    });
    cancelDeadline = clock.startTimer(
      Math.max(0, context.deadlineAtMs - clock.readMonotonicMs()),
      () => {
        if (reply.hasSentHead()) reply.destroy();
        else {
          reply.sendRefusal({
            kind: 'deadline-passed',
            reason: 'no event arrived before the deadline',
            retryAfterMs: 0,
          });
        }
        run.attempts.forEach((attempt) => recordStreamEnd(run, attempt, 'silent'));
        end('deadline-passed');
      },
    );
    // The caller goes on at another VM if it may.
    removeExitListener = context.addExitListener(() =>
      refuse({
        kind: state.mayHaveStarted ? 'lost' : 'not-run',
        reason: 'this VM exits',
        retryAfterMs: 0,
      }),
    );
    const leave = (): void => {
      run.attempts.forEach((attempt) => recordStreamEnd(run, attempt, 'dropped'));
      end('left');
    };
    reply.callerLeft.addEventListener('abort', leave, { once: true });
    if (refuseQuarantined(run)) return;
    // A caller that has got no event of this response loses nothing by its end, and may come again.
    cancelListener = crashes.addListener(() => {
      if (run.lastEventAtMs === null && !refuseQuarantined(run)) recallWaitingAttempts(run);
    });
    queue.push({ kind: 'caller-attached' });
    queue.push({ kind: 'started' });
  });
