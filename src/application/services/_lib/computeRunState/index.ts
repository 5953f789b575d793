import { RunState } from '../../../../domain/types';
import type { PlainResponse } from '../../../ports';

const STATED: Readonly<Record<string, RunState>> = {
  'not-run': RunState.NotRun,
  ran: RunState.Ran,
  unknown: RunState.Unknown,
};

/** Statuses that a gateway in front of the service may have given without it, RFC 9110 15.6. */
const GATEWAY_STATUSES: readonly number[] = [502, 503, 504];

/**
 * Tells what an answer says of whether the call ran.
 *
 * @returns what the service itself states in `Jackdaw-Run-State`; else `ran`, or `unknown` for a
 * status that something in between may have given
 */
export const computeRunState = (response: PlainResponse): RunState => {
  const stated = STATED[String(response.headers['jackdaw-run-state'] ?? '')];
  if (stated !== undefined) return stated;
  return GATEWAY_STATUSES.includes(response.status) ? RunState.Unknown : RunState.Ran;
};
