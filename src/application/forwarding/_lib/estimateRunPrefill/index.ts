import { countPromptTokens } from '../../../../domain/forwarding';
import { estimatePrefill, type PrefillEstimate } from '../../../../domain/detection';
import type { StreamRun } from '../../types';

/** Estimates how long a run's prompt takes to read, from what this VM saw of its service lately. */
export const estimateRunPrefill = ({ context, paces }: StreamRun): PrefillEstimate =>
  estimatePrefill(paces.listFirstTokens(context.service), countPromptTokens(context.request));
