import { countCrashedServers } from '../countCrashedServers';
import { countNeededCrashes } from '../countNeededCrashes';
import type { RunOutcome } from '../types';

/**
 * Requests under which servers must have crashed before a prompt part is held responsible: a single
 * one may crash servers by itself, whatever its parts are.
 */
const MIN_REQUESTS_OF_PART = 2;

/**
 * Judges whether crashes without an answer in between are enough to hold a request, or a prompt
 * part, responsible.
 *
 * @param crashes - crashes under one fingerprint
 * @param options.isPart - whether it is that of a prompt part
 * @param options.hasAnswer - whether a server has answered since the first suspicion
 */
export const judgeCrashes = (
  crashes: readonly RunOutcome[],
  options: { readonly hasAnswer: boolean; readonly isPart: boolean },
): boolean =>
  countCrashedServers(crashes) >= countNeededCrashes(options) &&
  (!options.isPart ||
    new Set(crashes.map(({ requestId }) => requestId)).size >= MIN_REQUESTS_OF_PART);
