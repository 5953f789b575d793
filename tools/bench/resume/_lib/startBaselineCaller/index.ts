import { setTimeout as wait } from 'node:timers/promises';
import { decodeServerSentEvents } from '../../../../../client/_lib/decodeServerSentEvents';
import { readChunks } from '../../../../../client/_lib/readChunks';
import { checkChain, renderPrompt } from '../../../../../standins/chain';
import type { BenchCaller, CallerRequest, CallerResult } from '../../types';

/**
 * Idle timeout of the baseline's connections. It is a hundred token gaps: a client that does not
 * know the pace of the stream could hardly choose a shorter one.
 */
const IDLE_TIMEOUT_MS = 1000;

/** Delay after an attempt without tokens, so that a full engine is not polled in a tight loop. */
const RETRY_DELAY_MS = 20;

const MAX_ATTEMPTS = 50;

interface Attempt {
  /** Called with the text of each event. */
  readonly handleText: (text: string) => void;
  readonly streamId: string;
}

/** Runs one attempt; returns true if the stream completed. */
async function runAttempt(url: string, body: object, attempt: Attempt): Promise<boolean> {
  const connection = new AbortController();
  const opening = setTimeout(() => connection.abort(), IDLE_TIMEOUT_MS);
  try {
    const answer = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...body, stream: true, stream_id: attempt.streamId }),
      signal: connection.signal,
    });
    clearTimeout(opening);
    if (!answer.ok || answer.body === null) return false;
    for await (const event of decodeServerSentEvents(readChunks(answer.body, IDLE_TIMEOUT_MS))) {
      if (event.data === '[DONE]') return true;
      const chunk = JSON.parse(event.data) as { choices: { delta: { content: string } }[] };
      attempt.handleText(chunk.choices[0]?.delta.content ?? '');
    }
    return false;
  } catch {
    return false;
  } finally {
    clearTimeout(opening);
    connection.abort();
  }
}

/** Cancels an attempt at the engine; a frozen engine handles the request once it is unfrozen. */
function cancelAttempt(url: string, streamId: string): void {
  fetch(`${url}/v1/streams/${streamId}`, { method: 'DELETE' }).catch(() => undefined);
}

/**
 * Starts a caller of the baseline: it connects directly to the engines and, when its stream breaks,
 * discards the tokens received and starts over at the next engine.
 *
 * Its answer counts as resumed once it has more tokens than before the break.
 *
 * @param name - prefix of its stream ids
 */
export function startBaselineCaller(request: CallerRequest, name: string): BenchCaller {
  const body = { ...request.body, model: request.model };
  const resumeMs: number[] = [];
  let url = '';
  let mostTokens = 0;
  let breaks = 0;
  let openBreaksMs: readonly number[] = [];
  let waiters: readonly { readonly count: number; readonly resolve: (is: boolean) => void }[] = [];
  const resolveWaiters = (isOver: boolean) => {
    const woken = waiters.filter(({ count }) => isOver || mostTokens >= count);
    waiters = waiters.filter((waiter) => !woken.includes(waiter));
    woken.forEach(({ count, resolve }) => resolve(mostTokens >= count));
  };
  const handleProgress = (tokens: number) => {
    if (tokens <= mostTokens) return;
    mostTokens = tokens;
    openBreaksMs.forEach((atMs) => resumeMs.push(performance.now() - atMs));
    openBreaksMs = [];
    resolveWaiters(false);
  };
  const run = async (): Promise<CallerResult> => {
    let texts: string[] = [];
    let isDone = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !isDone; attempt += 1) {
      texts = [];
      const received = texts;
      url = request.urls[attempt % request.urls.length] ?? '';
      const handleText = (text: string) => {
        received.push(text);
        handleProgress(received.length);
      };
      const streamId = `${name}.${attempt}`;
      isDone = await runAttempt(url, body, { handleText, streamId });
      if (!isDone) cancelAttempt(url, streamId);
      if (!isDone && received.length === 0) await wait(RETRY_DELAY_MS);
    }
    resolveWaiters(true);
    const chain = checkChain(`${request.model}\n${renderPrompt(body)}`, texts, {
      expectedTokens: request.tokens,
    });
    return {
      isComplete: isDone,
      reason: isDone ? '' : 'attempts used up',
      chain,
      breaks,
      resumeMs,
      gapsMs: [],
    };
  };
  return {
    readStreamPrefix: () => `${name}.`,
    readUrl: () => url,
    recordBreak: () => {
      breaks += 1;
      openBreaksMs = [...openBreaksMs, performance.now()];
    },
    waitForTokens: (count) =>
      new Promise((resolve) => {
        waiters = [...waiters, { count, resolve }];
        resolveWaiters(false);
      }),
    result: run(),
  };
}
