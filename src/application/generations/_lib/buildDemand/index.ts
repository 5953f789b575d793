import type { Attempt } from '../../../../domain/generation';
import type { Demand, GenerationRequest, Service } from '../../../../domain/types';

/** Average characters per token; used only to estimate load. */
const CHARACTERS_PER_TOKEN = 4;

/** Queue timeout of a resume. It may outwait a new request, as tokens are already generated. */
const RESUME_DEADLINE_MS = 30_000;

/** Options of one attempt. */
export interface DemandOptions {
  readonly purpose: Attempt['purpose'];
  readonly excludedServers: readonly string[];
  /** Number of tokens already held. */
  readonly offset: number;
  readonly nowMs: number;
  /** Deadline of the first token, in monotonic milliseconds. */
  readonly deadlineMs: number;
}

/**
 * Builds the demand that an attempt sends to the router.
 *
 * @param request - Caller's request.
 * @param service - Configured service of the request.
 * @param options - Options of the attempt.
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
