import type { RunContext } from '../../types';

/**
 * Records in the decision log that a generation is resumed after a failure.
 *
 * @param context - Run that is resumed.
 * @param method - How the run is resumed.
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
