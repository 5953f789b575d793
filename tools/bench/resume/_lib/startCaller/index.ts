import { GenerationLostError, streamGeneration } from '../../../../../client';
import { renderPrompt } from '../../../../../standins/chain';
import type { BenchCaller, CallerRequest, CallerResult } from '../../types';
import { createBreakMeter } from '../createBreakMeter';

/** Starts a caller that streams from the entries with the published client. */
export function startCaller(request: CallerRequest, apiKey: string): BenchCaller {
  const meter = createBreakMeter(`${request.model}\n${renderPrompt(request.body)}`);
  let generationId = '';
  let url = request.urls[0] ?? '';
  let connection = 0;
  const openConnection: typeof fetch = (input, init) => {
    connection += 1;
    url = new URL(String(input)).origin;
    return fetch(input, init);
  };
  const followStream = async (): Promise<string> => {
    const { urls: baseUrls, body } = request;
    const batches = streamGeneration({ baseUrls, apiKey, body, fetch: openConnection });
    try {
      for await (const batch of batches) {
        generationId = batch.generationId;
        meter.recordText(batch.text, connection);
      }
      return '';
    } catch (error) {
      return error instanceof GenerationLostError ? error.message : String(error);
    } finally {
      meter.stop();
    }
  };
  const run = async (): Promise<CallerResult> => {
    const reason = await followStream();
    const chain = meter.buildReport(request.tokens);
    const isComplete = reason === '' && chain.tokens === request.tokens;
    return {
      isComplete,
      reason,
      chain,
      breaks: meter.countBreaks(),
      resumeMs: meter.listResumeMs(),
      gapsMs: meter.listGapsMs(),
    };
  };
  return {
    readStreamPrefix: () => (generationId === '' ? '' : `${generationId}.`),
    readUrl: () => url,
    recordBreak: meter.recordBreak,
    waitForTokens: meter.waitForTokens,
    result: run(),
  };
}
