import { countPromptTokens } from '../../../../domain/forwarding';
import { estimatePrefill, type PrefillEstimate } from '../../../../domain/detection';
import type { StreamRun } from '../../types';

/** Estimates the prefill time of a run's prompt from recent prefill times of its service. */
export const estimateRunPrefill = ({ context, paces }: StreamRun): PrefillEstimate =>
  estimatePrefill(paces.listFirstTokens(context.service), countPromptTokens(context.request));
