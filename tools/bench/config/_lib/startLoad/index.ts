import { BEARER_KEY, LOOKUP_SERVICE } from '../buildBenchConfiguration';

/** Counts of the requests so far. */
export interface LoadCounts {
  readonly sent: number;
  readonly failed: number;
  /** Failed requests among the marked ones (see `setMarked`). */
  readonly failedMarked: number;
  readonly sentMarked: number;
  /** Requests repeated at the next entry because the connection broke. */
  readonly repeated: number;
  /** Number of failures by cause. */
  readonly causes: Readonly<Record<string, number>>;
}

/** Load of callers with idempotent requests. */
export interface Load {
  /** Sets whether requests sent from now on are marked. */
  setMarked(isMarked: boolean): void;
  /** Stops sending and waits for the running requests. */
  stop(): Promise<LoadCounts>;
}

const INTERVAL_MS = 25;
const PROBE_TIMEOUT_MS = 500;
const REQUEST_TIMEOUT_MS = 8_000;
/** Cause of a failure after which the caller or a load balancer repeats an idempotent request. */
const BROKEN_CONNECTION = 'broken connection';

/** Checks the readiness of an entry as a load balancer does. */
async function isReady(url: string): Promise<boolean> {
  try {
    const response = await fetch(`${url}/readyz`, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await response.body?.cancel();
    return response.ok;
  } catch {
    return false;
  }
}

/** Sends one lookup; resolves with an empty text, or with the cause of its failure. */
async function sendLookup(url: string): Promise<string> {
  try {
    const response = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${BEARER_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: LOOKUP_SERVICE,
        messages: [{ role: 'user', content: 'status of dossier 7' }],
        max_tokens: 4,
      }),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await response.text();
    const code = /"code":"([^"]*)"/.exec(text)?.[1] ?? 'no code';
    return response.ok ? '' : `${response.status} ${code}`;
  } catch (error) {
    return error instanceof TypeError ? BROKEN_CONNECTION : String(error);
  }
}

/**
 * Starts callers that send one lookup every 25 ms, to the entries in turn, and skip those that are
 * not ready, as the platform's load balancer does. A request whose connection breaks because its
 * entry stopped is repeated at the next entry.
 *
 * @param listUrls - lists the base URLs of the entries that run now
 */
export function startLoad(listUrls: () => readonly string[]): Load {
  const running = new Set<Promise<void>>();
  const causes: Record<string, number> = {};
  const counts = { sent: 0, failed: 0, failedMarked: 0, sentMarked: 0, repeated: 0 };
  let isMarked = false;
  let turn = 0;

  const sendNextLookup = async (): Promise<void> => {
    const urls = listUrls();
    turn += 1;
    const order = urls.map((_, index) => urls[(turn + index) % urls.length] ?? '');
    const wasMarked = isMarked;
    counts.sent += 1;
    counts.sentMarked += wasMarked ? 1 : 0;
    let cause = 'no entry is ready';
    for (const url of order) {
      if (await isReady(url)) {
        cause = await sendLookup(url);
        if (cause !== BROKEN_CONNECTION) {
          break;
        }
        counts.repeated += 1;
      }
    }
    if (cause !== '') {
      causes[cause] = (causes[cause] ?? 0) + 1;
      counts.failed += 1;
      counts.failedMarked += wasMarked ? 1 : 0;
    }
  };
  const timer = setInterval(() => {
    const sent = sendNextLookup();
    running.add(sent);
    sent.finally(() => running.delete(sent));
  }, INTERVAL_MS);

  return {
    setMarked: (next) => {
      isMarked = next;
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all(running);
      return { ...counts, causes };
    },
  };
}
