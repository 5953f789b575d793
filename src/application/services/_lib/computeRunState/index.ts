import { RunState } from '../../../../domain/types';
import type { PlainResponse } from '../../../ports';

const RUN_STATE_BY_HEADER: Readonly<Record<string, RunState>> = {
  'not-run': RunState.NotRun,
  ran: RunState.Ran,
  unknown: RunState.Unknown,
};

/** Statuses that a gateway in front of the service may send on its own (RFC 9110, 15.6). */
const GATEWAY_STATUSES: readonly number[] = [502, 503, 504];

/**
 * Computes from an answer whether the call ran.
 *
 * @returns the value that the service states in `Jackdaw-Run-State`; without it `ran`, or `unknown`
 * for a status that an intermediary may have sent
 */
export const computeRunState = (response: PlainResponse): RunState => {
  const stated = RUN_STATE_BY_HEADER[String(response.headers['jackdaw-run-state'] ?? '')];
  if (stated !== undefined) return stated;
  return GATEWAY_STATUSES.includes(response.status) ? RunState.Unknown : RunState.Ran;
};
