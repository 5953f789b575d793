import { err, ok, type Result } from 'neverthrow';
import type {
  AttemptAnswer,
  AttemptError,
  Clock,
  ForwardClient,
} from '../../../src/application/ports';
import { BROKEN, createPushedBody, readEnd, REFUSED, SIMULATED_HEAD } from '../../model';
import type { ServerReport } from '../../../src/domain/forwarding';

/** A request that reached a server. */
export interface Arrival {
  readonly atMs: number;
  readonly vm: string;
  /** Ids of the parts of its prompt, in order. */
  readonly parts: readonly string[];
}

/** A crash of a server under a request. */
export interface RequestCrash {
  readonly atMs: number;
  /** Ids of the parts of the request's prompt, in order. */
  readonly parts: readonly string[];
}

/** Servers, and what they saw. */
export interface CrashingServers {
  /** Creates the client of a VM. */
  createClient(vm: string): ForwardClient;
  listIds(): readonly string[];
  /** Ends a server; all connections to it are reset. */
  crash(id: string): void;
  readonly arrivals: readonly Arrival[];
  /** When servers crashed, in order. */
  readonly crashedAtMs: readonly number[];
  /** Crashes under requests, in order. */
  readonly requestCrashes: readonly RequestCrash[];
}

/** Options of the servers. */
export interface CrashingServersOptions {
  readonly clock: Clock;
  readonly count: number;
  /** True if a server crashes that begins to answer a request with these parts. */
  readonly crashes: (parts: readonly string[], server: string) => boolean;
  /** Events that it sends before it crashes; none by default. */
  readonly eventsBeforeCrash?: number;
  /** Counts the events of a whole stream, four by default. */
  readonly countEvents?: ((parts: readonly string[]) => number) | undefined;
  /** Time from the request to the head of the response. */
  readonly prefillMs?: number | undefined;
  /** Time between two events. */
  readonly eventGapMs?: number | undefined;
  /** Called when a server is found to be gone, and when one has started. */
  readonly handleGone: (id: string) => void;
  readonly handleStarted: (id: string) => void;
}

const PREFILL_MS = 1000;

/** Time from the head to the first event, or to the crash. */
const FIRST_EVENT_MS = 70;

const EVENT_GAP_MS = 250;
const EVENTS = 4;

/** Time from a crash to the removal of the server's entry, and to its restart under another id. */
const LAPSE_MS = 1200;
const RESTART_MS = 3000;

/** Creates servers in virtual time that crash under some requests and start again. */
export const createCrashingServers = (options: CrashingServersOptions): CrashingServers => {
  const { clock, count, countEvents = () => EVENTS, eventsBeforeCrash = 0 } = options;
  const { eventGapMs = EVENT_GAP_MS, prefillMs = PREFILL_MS } = options;
  /** By id: breaks off the runs of a server. */
  const runsById = new Map<string, Set<() => void>>();
  const arrivals: Arrival[] = [];
  const crashedAtMs: number[] = [];
  const requestCrashes: RequestCrash[] = [];
  let started = 0;

  const start = (): string => {
    const id = `e-${started}`;
    started += 1;
    runsById.set(id, new Set());
    return id;
  };
  Array.from({ length: count }, start);

  const crash = (id: string): void => {
    const runs = runsById.get(id);
    if (!runs) return;
    runsById.delete(id);
    crashedAtMs.push(clock.readMonotonicMs());
    runs.forEach((breakOff) => breakOff());
    clock.startTimer(LAPSE_MS, () => options.handleGone(id));
    clock.startTimer(RESTART_MS, () => options.handleStarted(start()));
  };

  const readReport = (id: string): ServerReport | null => {
    const runs = runsById.get(id);
    return runs
      ? {
          waiting: 0,
          running: runs.size,
          kvUsedTokens: 0,
          kvTotalTokens: 0,
          eventsByRun: null,
          isLeaving: false,
          limitPerS: null,
          maxRejectionsPerS: null,
          load: null,
          bornMs: null,
        }
      : null;
  };

  const runAttempt = (
    vm: string,
    { lastEventId, request, server: { id } }: Parameters<ForwardClient['sendAttempt']>[0],
    signal: AbortSignal,
  ): Promise<Result<AttemptAnswer, AttemptError>> =>
    new Promise((resolve) => {
      const runs = runsById.get(id);
      if (!runs) {
        resolve(err(REFUSED));
        return;
      }
      const parts = request.promptParts.map((part) => part.id);
      arrivals.push({ atMs: clock.readMonotonicMs(), vm, parts });
      const isCrashing = options.crashes(parts, id);
      const events = countEvents(parts);
      const body = createPushedBody();
      let cancelTimer = (): void => undefined;
      const breakOff = (): void => {
        cancelTimer();
        runs.delete(breakOff);
        body.finish(new Error('reset'));
        resolve(err(BROKEN));
      };
      const complete = (): void => {
        runs.delete(breakOff);
        body.finish(null);
      };
      runs.add(breakOff);
      signal.addEventListener('abort', breakOff, { once: true });
      const sendEvent = (event: number): void => {
        if (isCrashing && event > eventsBeforeCrash) {
          requestCrashes.push({ atMs: clock.readMonotonicMs(), parts });
          crash(id);
          return;
        }
        body.push(Buffer.from(`id: ${(lastEventId ?? 0) + event}\ndata: x\n\n`));
        if (event === events) complete();
        else cancelTimer = clock.startTimer(eventGapMs, () => sendEvent(event + 1));
      };
      cancelTimer = clock.startTimer(prefillMs, () => {
        resolve(
          ok({
            head: SIMULATED_HEAD,
            relay: null,
            body: body.readChunks(),
            readEnd,
            recordProgress: () => undefined,
          }),
        );
        cancelTimer = clock.startTimer(FIRST_EVENT_MS, () => sendEvent(1));
      });
    });

  return {
    arrivals,
    crashedAtMs,
    requestCrashes,
    crash,
    listIds: () => [...runsById.keys()],
    createClient: (vm) => ({
      sendAttempt: (attempt, signal) => runAttempt(vm, attempt, signal),
      copyRun: async () => err({ reason: 'none', isUnknownRun: false, kept: null }),
      dropCopy: () => undefined,
      readReport: async ({ id }) => readReport(id),
      probeIdentity: async ({ id }) => (runsById.has(id) ? 'alive' : 'gone'),
      readIdentity: async () => null,
      readCachedPromptParts: async () => new Map(),
      removeServer: () => undefined,
    }),
  };
};
