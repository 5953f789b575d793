import { runHedged } from '../../../../../src/application/routing';
import type { EngineError, Slot, Clock } from '../../../../../src/application/ports';
import { computePrefixDigests } from '../../../../../src/domain/routing';
import type { Demand, GenerationRequest } from '../../../../../src/domain/types';
import type { Arrival, RequestRecord } from '../../types';
import { TIMEOUTS_MS } from '../buildBenchConfiguration';
import type { BenchEntry } from '../createBenchEntry';
import { startBenchAttempt } from '../startBenchAttempt';
import type { StartedAttempt } from '../startBenchAttempt';

/** Most attempts of one request. */
const MAX_ATTEMPTS = 4;

const MAX_OUTPUT_TOKENS = 256;
const CHARACTERS_PER_TOKEN = 4;

/** Context in which a request of the bench runs. */
export interface BenchContext {
  readonly clock: Clock;
  readonly clientRoundTripMs: number;
  /** Aborts requests that still run at the end of a phase. */
  readonly signal: AbortSignal;
}

function buildRequest(arrival: Arrival, prefixes: readonly string[]): GenerationRequest {
  return {
    requestId: arrival.id,
    workspace: arrival.workspace,
    service: arrival.service,
    endpoint: 'completion',
    stream: true,
    idempotent: true,
    idempotencyKey: '',
    maxOutputTokens: MAX_OUTPUT_TOKENS,
    timeoutMs: arrival.isLong ? TIMEOUTS_MS.long : TIMEOUTS_MS.lookup,
    body: { prompt: arrival.prompt, standin_tokens: arrival.outputTokens },
    digest: '',
    promptCharacters: arrival.prompt.length,
    prefixes,
  };
}

/** Runs one request as an entry does: acquires a slot, starts attempts, retries and resumes. */
export async function runBenchRequest(
  arrival: Arrival,
  entry: BenchEntry,
  { clock, clientRoundTripMs, signal }: BenchContext,
): Promise<RequestRecord> {
  const arrivedMs = clock.readMonotonicMs();
  const prefixes = computePrefixDigests(arrival.prompt);
  const request = buildRequest(arrival, prefixes);
  const late = new AbortController();
  const handleEnd = (): void => late.abort();
  signal.addEventListener('abort', handleEnd, { once: true });
  const cancelTimer = clock.startTimer(request.timeoutMs, handleEnd);
  const tokenIds: number[] = [];
  const excluded: string[] = [];
  let firstTokenMs = 0;
  let attempts = 0;
  let crossZoneAttempts = 0;

  const buildRecord = (outcome: RequestRecord['outcome']): RequestRecord => {
    cancelTimer();
    signal.removeEventListener('abort', handleEnd);
    const endedMs = clock.readMonotonicMs();
    return {
      workspace: arrival.workspace,
      isLong: arrival.isLong,
      arrivedMs,
      endedMs,
      outcome,
      firstTokenMs: firstTokenMs > 0 ? firstTokenMs + clientRoundTripMs : 0,
      completionMs: endedMs - arrivedMs + clientRoundTripMs,
      tokens: tokenIds.length,
      wastedTokens: outcome === 'finished' || outcome === 'cut' ? 0 : tokenIds.length,
      attempts,
      crossZoneAttempts,
    };
  };
  /** Returns why the request was aborted from outside, or null. */
  const readExternalEnd = (): 'cut' | 'late' | null => {
    if (signal.aborted) return 'cut';
    return late.signal.aborted ? 'late' : null;
  };
  const runLeg = (slot: Slot, legSignal: AbortSignal) => {
    attempts += 1;
    if (slot.server.availabilityZone !== entry.zone) crossZoneAttempts += 1;
    const streamId = `${arrival.id}.${attempts}`;
    return startBenchAttempt(
      entry.engines,
      { request, streamId, prefixTokenIds: tokenIds },
      slot,
      legSignal,
    );
  };
  /** Records a failed attempt; all entries suspect a server that does not answer a probe. */
  const recordFailure = async ({ server }: Slot, error: EngineError): Promise<void> => {
    excluded.push(server.name);
    if (error.kind === 'broken' || (await entry.engines.probe(server)).isErr()) {
      const evidence = { cause: 'reset', confirmed: true, vm: entry.vm, epoch: 0 } as const;
      entry.health.recordSuspicion({ ...evidence, backendServer: server.name });
    }
  };
  /** Reads the rest of a stream; returns the error that ended it early, or null. */
  const readRest = async (leg: StartedAttempt): Promise<EngineError | null> => {
    tokenIds.push(...leg.first.tokenIds);
    let { finishReason } = leg.first;
    while (finishReason === null) {
      const next = await leg.rest.next();
      if (next.done) return { kind: 'broken', reason: 'ended early' };
      if (next.value.isErr()) return next.value.error;
      tokenIds.push(...next.value.value.tokenIds);
      finishReason = next.value.value.finishReason;
    }
    return null;
  };

  while (attempts < MAX_ATTEMPTS) {
    const demand: Demand = {
      requestId: arrival.id,
      workspace: arrival.workspace,
      service: arrival.service,
      workClass: arrival.isLong ? 'long' : 'lookup',
      purpose: tokenIds.length > 0 ? 'resume' : 'start',
      prefixes,
      promptTokens: arrival.prompt.length / CHARACTERS_PER_TOKEN,
      maxOutputTokens: MAX_OUTPUT_TOKENS,
      excludedServers: excluded,
      deadlineMs: arrivedMs + request.timeoutMs,
    };
    const sentMs = clock.readMonotonicMs();
    const hedgeDelayMs = arrival.isLong ? null : entry.estimateHedgeDelayMs(arrival.service);
    const hedged = await runHedged(
      { router: entry.router, clock },
      {
        demand,
        mayHedge: hedgeDelayMs !== null && tokenIds.length === 0,
        hedgeDelayMs: hedgeDelayMs ?? 0,
        signal: tokenIds.length > 0 ? signal : late.signal,
        runLeg,
      },
    );
    const lost = hedged.isErr() ? hedged.error : null;
    if (lost?.kind === 'refused') return buildRecord(readExternalEnd() ?? 'refused');
    const slot = hedged.isOk() ? hedged.value.slot : lost?.slot;
    if (slot === undefined) return buildRecord('failed');
    if (firstTokenMs === 0 && hedged.isOk()) {
      firstTokenMs = clock.readMonotonicMs() - arrivedMs;
      cancelTimer();
    }
    const legFirstMs = clock.readMonotonicMs() - sentMs;
    const error = hedged.isOk() ? await readRest(hedged.value.value) : (lost?.error ?? null);
    const measured = {
      firstTokenMs: hedged.isOk() ? legFirstMs : 0,
      outputTokens: tokenIds.length,
    };
    if (error === null) {
      slot.release({ outcome: 'finished', ...measured });
      return buildRecord('finished');
    }
    const end = readExternalEnd();
    if (end !== null) {
      slot.release({ outcome: 'cancelled', ...measured });
      return buildRecord(end);
    }
    slot.release({ outcome: error.kind === 'not-started' ? 'not-started' : 'failed', ...measured });
    await recordFailure(slot, error);
  }
  return buildRecord('failed');
}
