import { setTimeout as wait } from 'node:timers/promises';
import { decodeServerSentEvents } from '../../../../../client/_lib/decodeServerSentEvents';
import { readChunks } from '../../../../../client/_lib/readChunks';
import { checkChain, renderPrompt } from '../../../../../standins/chain';
import type { BenchCaller, CallerRequest, CallerResult } from '../../types';

/**
 * Silence after which the baseline gives a connection up. A hundred gaps: a client without
 * knowledge of the stream's own pace could hardly choose less.
 */
const SILENCE_LIMIT_MS = 1000;

/** Pause after a request that brought nothing, so that a full engine is not asked in a loop. */
const RETRY_DELAY_MS = 20;

const MAX_ATTEMPTS = 50;

interface Attempt {
  /** Takes the text of each event. */
  readonly handleText: (text: string) => void;
  readonly streamId: string;
}

/** Runs one attempt; true if it came to its end. */
async function runAttempt(url: string, body: object, attempt: Attempt): Promise<boolean> {
  const connection = new AbortController();
  const opening = setTimeout(() => connection.abort(), SILENCE_LIMIT_MS);
  try {
    const answer = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...body, stream: true, stream_id: attempt.streamId }),
      signal: connection.signal,
    });
    clearTimeout(opening);
    if (!answer.ok || answer.body === null) return false;
    for await (const event of decodeServerSentEvents(readChunks(answer.body, SILENCE_LIMIT_MS))) {
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

/** Cancels what the engine may still generate; a frozen one does so when it comes back. */
function cancelAttempt(url: string, streamId: string): void {
  fetch(`${url}/v1/streams/${streamId}`, { method: 'DELETE' }).catch(() => undefined);
}

/**
 * Starts the baseline: a caller straight at the engines that begins again from the start at the
 * next one when its stream breaks, and throws away what it had.
 *
 * Its answer continues when it has more tokens than before the break.
 *
 * @param name - start of its stream ids
 */
export function startBaselineCaller(request: CallerRequest, name: string): BenchCaller {
  const body = { ...request.body, model: request.model };
  const resumeMs: number[] = [];
  let url = '';
  let best = 0;
  let breaks = 0;
  let open: readonly number[] = [];
  let waiters: readonly { readonly count: number; readonly resolve: (is: boolean) => void }[] = [];
  const wake = (isOver: boolean) => {
    const woken = waiters.filter(({ count }) => isOver || best >= count);
    waiters = waiters.filter((waiter) => !woken.includes(waiter));
    woken.forEach(({ count, resolve }) => resolve(best >= count));
  };
  const handleProgress = (tokens: number) => {
    if (tokens <= best) return;
    best = tokens;
    open.forEach((atMs) => resumeMs.push(performance.now() - atMs));
    open = [];
    wake(false);
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
    wake(true);
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
      open = [...open, performance.now()];
    },
    waitForTokens: (count) =>
      new Promise((resolve) => {
        waiters = [...waiters, { count, resolve }];
        wake(false);
      }),
    result: run(),
  };
}
