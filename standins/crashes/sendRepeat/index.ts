import type { CallerReply, Forwarder } from '../../../src/application/forwarding';
import type { Clock } from '../../../src/application/ports';
import type { ForwardedRequest } from '../../../src/domain/forwarding';
import type { RepeatOutcome } from '../types';

/** A request of a caller that does not retry by itself. */
export interface SentRepeat {
  readonly id: string;
  readonly target: string;
  readonly lastEventId: number | null;
  /** Time after which the caller leaves. */
  readonly patienceMs: number;
}

const DEADLINES_MS = { call: 2000, stream: 4000 } as const;

/** Sends a request to a VM and resolves with how it ended. */
export const sendRepeat = (
  clock: Clock,
  forwarder: Forwarder,
  { id, lastEventId, patienceMs, target }: SentRepeat,
): Promise<RepeatOutcome> =>
  new Promise((resolve) => {
    const atMs = clock.readMonotonicMs();
    const left = new AbortController();
    let isOpen = true;
    let hasHead = false;
    const end = (outcome: string, retryAfterMs = 0): void => {
      if (isOpen) resolve({ atMs, outcome, retryAfterMs });
      isOpen = false;
    };
    const reply: CallerReply = {
      callerLeft: left.signal,
      isOpen: () => isOpen,
      hasSentHead: () => hasHead,
      sendRefusal: ({ kind, retryAfterMs }) => end(kind, retryAfterMs),
      sendResponse: () => end('answered'),
      sendHead: () => {
        hasHead = true;
      },
      write: () => true,
      waitForDrain: async () => undefined,
      acquireBytes: () => true,
      end: () => end('answered'),
      destroy: () => end('broken'),
    };
    const deadlineMs = DEADLINES_MS[target.startsWith('/call/') ? 'call' : 'stream'];
    clock.startTimer(Math.min(patienceMs, deadlineMs + 1000), () => {
      end('left');
      left.abort();
    });
    const request: ForwardedRequest = {
      requestId: id,
      method: 'GET',
      target,
      host: 'h',
      forwardedHeaders: [],
      key: null,
      deadlineMs,
      arrivedAtMs: atMs,
      sentSinceMs: atMs,
      lastEventId,
      tokens: null,
      promptParts: [],
      body: Buffer.alloc(0),
    };
    forwarder.forwardRequest(request, reply);
  });
