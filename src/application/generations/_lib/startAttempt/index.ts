import { err, ok, type Result } from 'neverthrow';
import type { GenerationEffect, ReaderId } from '../../../../domain/generation';
import {
  RefusalCode,
  type GenerationRequest,
  type Refusal,
  type Service,
} from '../../../../domain/types';
import type { ClaimError, Slot } from '../../../ports';
import type { AttemptHandle, RunContext } from '../../types';
import { buildDemand } from '../buildDemand';
import { convertEngineError } from '../convertEngineError';
import { createAttemptHandle } from '../createAttemptHandle';
import { findCrashCause } from '../findCrashCause';
import { readStream } from '../readStream';

type OpenAttempt = Extract<GenerationEffect, { kind: 'open-attempt' }>;

/** Interval at which a generation that is held back asks whether it may be sent on. */
const HELD_RETRY_MS = 1000;

/** Random bytes in a stream id, as two VMs may start the same attempt number. */
const STREAM_ID_BYTES = 4;

const isClosed = (context: RunContext, handle: AttemptHandle): boolean =>
  context.handles.get(handle.attempt) !== handle;

const findService = (context: RunContext): Result<Service, Refusal> => {
  const current = context.dependencies.configuration.readCurrent();
  const service = current?.configuration.services.find(({ name }) => name === context.service);
  if (service) return ok(service);
  const message = `service ${context.service} is not configured`;
  return err({ code: RefusalCode.UnknownService, message, retryAfterMs: 0 });
};

/** Records the attempt in the claim; only a non-idempotent request waits for the write. */
const recordAttemptInClaim = async (
  context: RunContext,
  handle: AttemptHandle,
  request: GenerationRequest,
): Promise<Result<void, ClaimError>> => {
  const { writer } = context.claim;
  if (!writer) return ok();
  const written = writer.recordAttempt({
    backendServer: handle.server?.name ?? '',
    streamId: handle.streamId,
    attempt: handle.attempt,
  });
  return request.idempotent ? ok() : written;
};

const sendAttempt = async (
  context: RunContext,
  handle: AttemptHandle,
  reader: ReaderId,
  options: { readonly request: GenerationRequest; readonly service: Service; readonly slot: Slot },
): Promise<void> => {
  const { dependencies } = context;
  const { request, service, slot } = options;
  context.dispatch({ kind: 'sending', reader, backendServer: slot.server.name });
  const prefixTokenIds = context.log.listTokenIds();
  if (isClosed(context, handle) || !prefixTokenIds) return;
  const nowMs = dependencies.clock.readMonotonicMs();
  Object.assign(handle, { isAtEngine: true, sentAtMs: nowMs, lastActivityMs: nowMs });
  const started = await dependencies.engineClient.startAttempt(slot.server, {
    request,
    model: service.model,
    adapter: service.adapter,
    streamId: handle.streamId,
    prefixTokenIds,
    priority: slot.priority,
  });
  if (started.isErr()) {
    if (started.error.kind === 'not-started') Object.assign(handle, { isAtEngine: false });
    context.dispatch(convertEngineError(started.error, reader));
    return;
  }
  if (isClosed(context, handle)) {
    started.value.detach();
    context.cancelQueue.cancel(slot.server, handle.streamId);
    return;
  }
  Object.assign(handle, { stream: started.value });
  await readStream(context, handle, reader, started.value);
};

/**
 * Starts an attempt: acquires a slot, names the stream, updates the claim, sends the request and
 * reads the stream.
 *
 * @param context - Run that the attempt belongs to; receives each step as an input.
 * @param effect - Attempt to open.
 */
export const startAttempt = async (context: RunContext, effect: OpenAttempt): Promise<void> => {
  const { dependencies, request } = context;
  const { reader } = effect;
  const nowMs = dependencies.clock.readMonotonicMs();
  const handle = createAttemptHandle(
    reader.attempt,
    nowMs,
    context.latencyHistory.readInitialGaps(context.service),
  );
  context.handles.set(reader.attempt, handle);
  const refuse = (refusal: Refusal): void =>
    context.dispatch({ kind: 'slot-refused', reader, refusal });
  const service = findService(context);
  if (service.isErr()) return refuse(service.error);
  if (!request) return undefined;
  const cause = context.log.readEndOffset() === 0 ? findCrashCause(dependencies, request) : null;
  if (cause) {
    const message = 'engines ended as they ran this request';
    return refuse({ code: RefusalCode.NoReadyServer, message, retryAfterMs: HELD_RETRY_MS });
  }
  const demand = buildDemand(request, service.value, {
    purpose: effect.purpose,
    excludedServers: effect.excludedServers,
    offset: context.log.readEndOffset(),
    nowMs,
    deadlineMs: context.deadlineMs,
  });
  const acquired = await dependencies.router.acquireSlot(demand, handle.abort.signal);
  if (acquired.isErr()) return isClosed(context, handle) ? undefined : refuse(acquired.error);
  const slot = acquired.value;
  if (isClosed(context, handle)) {
    return slot.release({ outcome: 'not-started', firstTokenMs: 0, outputTokens: 0 });
  }
  const streamId = `${context.generationId}.${reader.attempt}.${dependencies.randomness.readHex(STREAM_ID_BYTES)}`;
  Object.assign(handle, { slot, server: slot.server, streamId });
  const recorded = await recordAttemptInClaim(context, handle, request);
  if (isClosed(context, handle)) return undefined;
  if (recorded.isErr()) {
    const retryAfterMs = 'retryAfterMs' in recorded.error ? recorded.error.retryAfterMs : 0;
    return context.dispatch({ kind: 'claim-refused', reader, retryAfterMs });
  }
  return sendAttempt(context, handle, reader, { request, service: service.value, slot });
};
