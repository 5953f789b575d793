import type { RunContext } from '../../types';

/**
 * Records that a generation goes on after a failure.
 *
 * @param context - Run.
 * @param method - How it goes on.
 */
export const recordResume = (context: RunContext, method: string): void => {
  const { decisionLog, configuration } = context.dependencies;
  decisionLog.record({
    kind: 'resume',
    requestId: context.request?.requestId ?? context.generationId,
    workspace: context.workspace,
    service: context.service,
    candidates: [],
    filtered: [],
    choice: '',
    reason: `${method} at token ${context.log.readEndOffset()}`,
    configurationVersion: configuration.readCurrent()?.version ?? 0,
  });
};
