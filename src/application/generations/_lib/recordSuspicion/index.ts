import type { GenerationEffect } from '../../../../domain/generation';
import { BackendHealth } from '../../../../domain/types';
import type { RunContext } from '../../types';

type SuspectServer = Extract<GenerationEffect, { kind: 'suspect-server' }>;

/**
 * Records evidence of a server failure from a stream of this VM, unless it is already known.
 *
 * @param context - Run whose stream gave the evidence.
 * @param effect - Evidence.
 */
export const recordSuspicion = (context: RunContext, effect: SuspectServer): void => {
  const { health, decisionLog, configuration, vm } = context.dependencies;
  const { backendServer, cause, confirmed } = effect;
  const state = health.readHealth(backendServer);
  const isKnown = state === BackendHealth.Dead || (state === BackendHealth.Suspected && !confirmed);
  if (!backendServer || isKnown) return;
  health.recordSuspicion({ backendServer, cause, confirmed, vm, epoch: 0 });
  decisionLog.record({
    kind: 'suspect',
    requestId: context.request?.requestId ?? context.generationId,
    workspace: context.workspace,
    service: context.service,
    candidates: [],
    filtered: [{ backendServer, reason: cause }],
    choice: '',
    reason: confirmed ? 'confirmed' : 'suspected',
    configurationVersion: configuration.readCurrent()?.version ?? 0,
  });
};
