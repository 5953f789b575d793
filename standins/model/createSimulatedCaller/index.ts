import type { CallerReply, Forwarder, Refusal } from '../../../src/application/forwarding';
import type { Clock } from '../../../src/application/ports';
import type { ForwardedRequest, PromptPart } from '../../../src/domain/forwarding';

/** Result of one caller's request. */
export interface CallerOutcome {
  readonly isComplete: boolean;
  /** Time from the first attempt to the first event; null if no event arrived. */
  readonly firstEventMs: number | null;
  readonly refusals: number;
}

/** Options of a simulated caller. */
export interface SimulatedCallerOptions {
  readonly id: string;
  readonly clock: Clock;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Parts of the prompt; by default one of its own. */
  readonly promptParts?: readonly PromptPart[];
  /** Picks the gateway of each attempt: a retry reaches another gateway. */
  readonly pickForwarder: (attempt: number) => Forwarder;
}

/** A caller waits for its retry at most this fraction of the time left to its deadline. */
const MAX_RETRY_WAIT_FRACTION = 1 / 3;

const MAX_OUTPUT_TOKENS = 840;

/** Starts a caller that retries once after a refusal, after the `Retry-After` time it was given. */
export const createSimulatedCaller = ({
  clock,
  deadlineMs,
  id,
  pickForwarder,
  promptTokens,
  promptParts = [{ id, tokens: promptTokens }],
}: SimulatedCallerOptions): Promise<CallerOutcome> =>
  new Promise((resolve) => {
    const startedAtMs = clock.readMonotonicMs();
    let firstEventMs: number | null = null;
    let refusals = 0;

    const buildRequest = (attempt: number): ForwardedRequest => ({
      requestId: `${id}-${attempt}`,
      method: 'POST',
      target: '/p/',
      host: 'h',
      forwardedHeaders: [],
      key: null,
      deadlineMs: deadlineMs - (clock.readMonotonicMs() - startedAtMs),
      arrivedAtMs: clock.readMonotonicMs(),
      sentSinceMs: clock.readMonotonicMs(),
      lastEventId: null,
      tokens: { prompt: promptTokens, maxOutput: MAX_OUTPUT_TOKENS },
      promptParts,
      body: Buffer.from(id),
    });

    const send = (attempt: number): void => {
      const left = new AbortController();
      let isOpen = true;
      let hasBegun = false;
      const end = (isComplete: boolean): void => {
        if (!isOpen) return;
        isOpen = false;
        resolve({ isComplete, firstEventMs, refusals });
      };
      const handleRefusal = ({ kind, retryAfterMs }: Refusal): void => {
        if (!isOpen) return;
        refusals += 1;
        const leftMs = deadlineMs - (clock.readMonotonicMs() - startedAtMs);
        if (kind !== 'not-run' || attempt > 1) {
          end(false);
          return;
        }
        isOpen = false;
        const waitMs = Math.min(retryAfterMs, leftMs * MAX_RETRY_WAIT_FRACTION);
        clock.startTimer(waitMs, () => send(attempt + 1));
      };
      const reply: CallerReply = {
        callerLeft: left.signal,
        isOpen: () => isOpen,
        hasSentHead: () => hasBegun,
        sendRefusal: handleRefusal,
        sendResponse: () => end(false),
        sendHead: () => {
          hasBegun = true;
        },
        write: () => {
          firstEventMs ??= clock.readMonotonicMs() - startedAtMs;
          return true;
        },
        waitForDrain: () => Promise.resolve(),
        acquireBytes: () => true,
        end: () => end(true),
        destroy: () => end(false),
      };
      pickForwarder(attempt).forwardRequest(buildRequest(attempt), reply);
    };
    send(1);
  });
