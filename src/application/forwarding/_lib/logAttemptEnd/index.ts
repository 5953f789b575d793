import type { AttemptEnd } from '../../../../domain/crashes';
import type { ServerEntry } from '../../../../domain/forwarding';
import type { ForwardContext, ForwardingDependencies } from '../../types';
import { logDecision } from '../logDecision';

/**
 * Logs and counts how an attempt ended.
 *
 * @param evidence - what the end says of the request
 */
export const logAttemptEnd = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  server: ServerEntry,
  { beganAtMs, connection, endedAtMs, progress, relay }: AttemptEnd,
  evidence: string,
): void => {
  const path = relay === null ? 'direct' : 'relay';
  const { kind } = context.route;
  dependencies.meter.recordAttemptEnd({ kind, path, connection, evidence });
  if (connection === 'complete' || connection === 'unsent') return;
  const fields = { path, relay: relay ?? '', connection, progress, evidence };
  const ranMs = Math.round(endedAtMs - beganAtMs);
  logDecision(dependencies, context, 'attempt ended', { ...fields, ranMs }, server);
};
