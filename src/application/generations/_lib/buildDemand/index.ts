import type { Attempt } from '../../../../domain/generation';
import type { Demand, GenerationRequest, Service } from '../../../../domain/types';

/** Characters of a token on average, for estimates of load only. */
const CHARACTERS_PER_TOKEN = 4;

/** How long a resume may wait in the queue: longer than a new request, as it holds finished work. */
const RESUME_DEADLINE_MS = 30_000;

/** What one attempt asks for. */
export interface DemandOptions {
  readonly purpose: Attempt['purpose'];
  readonly excludedServers: readonly string[];
  /** Tokens already held. */
  readonly offset: number;
  readonly nowMs: number;
  /** Deadline of the first token, in monotonic milliseconds. */
  readonly deadlineMs: number;
}

/**
 * Builds what an attempt asks of the routing.
 *
 * @param request - Caller's request.
 * @param service - Its service as configured.
 * @param options - The attempt.
 * @returns Demand.
 */
export const buildDemand = (
  request: GenerationRequest,
  service: Service,
  options: DemandOptions,
): Demand => ({
  requestId: request.requestId,
  workspace: request.workspace,
  service: request.service,
  workClass: service.workClass,
  purpose: options.purpose,
  prefixes: request.prefixes,
  promptTokens: Math.ceil(request.promptCharacters / CHARACTERS_PER_TOKEN) + options.offset,
  maxOutputTokens: Math.max(1, request.maxOutputTokens - options.offset),
  excludedServers: options.excludedServers,
  deadlineMs:
    options.offset > 0
      ? options.nowMs + RESUME_DEADLINE_MS
      : Math.max(options.deadlineMs, options.nowMs),
});
