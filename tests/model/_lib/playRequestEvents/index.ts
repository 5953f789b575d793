import { err, ok } from 'neverthrow';
import type {
  CallerReply,
  Forwarder,
  ForwardingDependencies,
  ServerDirectory,
} from '../../../../src/application/forwarding';
import type {
  AttemptAnswer,
  AttemptRequest,
  ForwardClient,
} from '../../../../src/application/ports';
import type { ForwardedRequest, RouteKind, RouteTable } from '../../../../src/domain/forwarding';
import { createFakeClock, createSeededRandomness } from '../../../../standins/fakes';
import {
  createSimulatedDirectory,
  createSimulatedForwarder,
  REFUSED,
  SIMULATED_HEAD,
  SIMULATED_TABLE,
} from '../../../../standins/model';

const TIMEOUT_MS = 1000;

/** When the events happen; the deadline is an event as well. */
const EVENT_AT_MS = 300;

const IDS = ['i-1', 'i-2', 'i-3'];

/** Where a request waits; at a server unless it is in the first line. */
export const PHASES = [
  ...(['permit', 'trial', 'placement', 'connecting', 'retry'] as const),
  ...(['silent', 'body', 'refusal', 'broken refusal', 'no memory'] as const),
] as const;

/** Phases before the request is sent to any server. */
const UNSENT_PHASES: ReadonlySet<string> = new Set(['permit', 'trial', 'placement']);

/** Where a request waits. */
export type Phase = (typeof PHASES)[number];

const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const REFUSAL_HEAD = { ...SIMULATED_HEAD, status: 503, isNotExecuted: true };

/** What the events act on. */
interface World {
  readonly directory: ServerDirectory;
  readonly forwarder: Forwarder;
  readonly left: AbortController;
  /** Ends the wait of the request. */
  readonly release: () => void;
  readonly quarantine: () => void;
  readonly setTable: (table: RouteTable | null) => void;
  readonly passDeadline: () => void;
}

const REMOVED = IDS.map((key) => ({ key, value: null, version: 2 }));

const ORIGIN = { source: 'store', ageMs: 0, outageEndedAtMs: null, isRestored: false } as const;

/** What may happen meanwhile. */
export const EVENTS: Readonly<Record<string, (world: World) => void>> = {
  release: ({ release }) => release(),
  deadline: ({ passDeadline }) => passDeadline(),
  left: ({ left }) => left.abort(),
  shutdown: ({ forwarder }) => {
    forwarder.refuseStreams();
    forwarder.refuseAll();
  },
  draining: ({ directory }) => IDS.forEach(directory.recordLeaving),
  gone: ({ directory }) => directory.applyRows(REMOVED, ORIGIN),
  replaced: ({ directory }) => IDS.forEach((id) => directory.recordReplaced(id, `${id}b`, 0)),
  suspected: ({ directory }) => IDS.forEach((id) => directory.recordSuspicion(id, 'broken')),
  'no configuration': ({ setTable }) => setTable(null),
  'no route': ({ setTable }) => setTable({ ...SIMULATED_TABLE, routesByHost: new Map() }),
  quarantine: ({ quarantine }) => quarantine(),
};

/** A permit, or a retry. */
const GRANT = { release: () => undefined, finish: () => undefined };

async function* sendBytes(wait: Promise<void>, breaks: boolean) {
  yield Buffer.from('id: 1\ndata: x\n\n');
  await wait;
  if (breaks) throw new Error('reset');
}

/**
 * Plays events while a request that must not be repeated waits. Its wait ends late if no event ends
 * it.
 *
 * @param gap - turns of the queue of microtasks between two events
 * @returns what went wrong, or null
 */
export const playRequestEvents = async (
  kind: RouteKind,
  phase: Phase,
  events: readonly string[],
  gap = 0,
): Promise<string | null> => {
  const clock = createFakeClock();
  const directory = createSimulatedDirectory(clock, IDS);
  const left = new AbortController();
  let release: () => void = () => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const [route] = SIMULATED_TABLE.routesByHost.get('h') ?? [];
  if (!route) throw new Error('no route');
  let table: RouteTable | null = {
    ...SIMULATED_TABLE,
    routesByHost: new Map([
      ['h', [{ ...route, kind, resumable: false, timeoutMs: TIMEOUT_MS, latencyGoalMs: 200 }]],
    ]),
  };
  let answer: string | null = null;
  let status: number | null = null;
  const end = (what: string, code: number | null): void => {
    if (answer !== null || left.signal.aborted) return;
    answer = what;
    status = code;
  };
  let hasSentHead = false;
  const reply: CallerReply = {
    callerLeft: left.signal,
    isOpen: () => answer === null && !left.signal.aborted,
    hasSentHead: () => hasSentHead,
    sendRefusal: ({ kind: refusal }) => end(refusal, refusal === 'not-run' ? 503 : 502),
    sendResponse: ({ status: code }) => end('response', code),
    acquireBytes: () => phase !== 'no memory',
    sendHead: () => {
      hasSentHead = true;
    },
    write: () => true,
    waitForDrain: () => Promise.resolve(),
    end: () => end('whole', 200),
    destroy: () => end('broken off', null),
  };
  const wait = async <T>(value: T): Promise<T> => {
    await released;
    return value;
  };
  /** Servers to which the request was sent, and whether that server may have run it. */
  const sent: { mayHaveRun: boolean }[] = [];
  /** Whether it was sent to a server that had left before its wait ended. */
  let isSentInVain = false;
  const build = (head: AttemptAnswer['head'], body: AttemptAnswer['body']) =>
    ok({ head, relay: null, body, readEnd: () => 'reset', recordProgress: () => undefined });
  const client = {
    sendAttempt: async ({ server }: AttemptRequest, signal: AbortSignal) => {
      if (signal.aborted)
        return err({ kind: 'cancelled', reason: '', connection: 'unsent', relay: null });
      const attempt = { mayHaveRun: true };
      sent.push(attempt);
      isSentInVain ||= events[0] !== 'release' && directory.findServing(server.id) === null;
      const aborted = new Promise<void>((resolve) => {
        signal.addEventListener('abort', () => resolve());
      });
      if (phase === 'connecting') {
        await Promise.race([released, aborted]);
        attempt.mayHaveRun = false;
        return REFUSED;
      }
      const isRefusing = phase === 'retry' && sent.length === 1;
      if (phase === 'refusal' || phase === 'broken refusal' || isRefusing) {
        attempt.mayHaveRun = false;
        const rest = isRefusing ? Promise.resolve() : Promise.race([released, aborted]);
        return build(REFUSAL_HEAD, sendBytes(rest, phase === 'broken refusal'));
      }
      if (phase === 'silent') {
        await Promise.race([released, aborted]);
        return err({ kind: 'broken', reason: '', connection: 'reset', relay: null });
      }
      return build(SIMULATED_HEAD, sendBytes(Promise.race([released, aborted]), true));
    },
    readReport: () => (phase === 'placement' ? wait(null) : Promise.resolve(null)),
    readCachedPromptParts: async () => [],
    dropCopy: () => undefined,
    removeServer: () => undefined,
  } as unknown as ForwardClient;
  const quarantine = { kind: 'request', isCertain: true, trialPauseMs: 1, fingerprints: ['f'] };
  let cause: object | null = phase === 'trial' ? { ...quarantine, remainingMs: 0 } : null;
  const listeners: (() => void)[] = [];
  const crashes = {
    isEmpty: () => cause === null,
    findCause: () => cause,
    isSuspected: () => false,
    recordOutcome: () => undefined,
    addListener: (listener: () => void) => {
      listeners.push(listener);
      return () => undefined;
    },
  } as unknown as ForwardingDependencies['crashes'];
  const overrides = {
    tables: {
      readCurrent: () => table,
      isCurrent: () => true,
      applyRows: () => undefined,
      addListener: () => undefined,
    },
    crashTrials: { acquireTrial: () => wait(true) },
    ...(phase === 'permit' ? { permits: { acquirePermit: () => wait(GRANT) } } : {}),
    ...(phase === 'retry' ? { lender: { acquireRetry: () => wait(GRANT) } } : {}),
  } as unknown as Partial<ForwardingDependencies>;
  const forwarder = createSimulatedForwarder({
    ...{ index: 0, vms: 3, client, clock, crashes, directory, overrides },
    randomness: createSeededRandomness(1),
  });
  const request = {
    ...{ requestId: 'r', method: 'POST', host: 'h', target: '/p/x', key: null, headers: [] },
    ...{ body: Buffer.alloc(0), deadlineMs: TIMEOUT_MS, lastEventId: null, tokens: null },
    ...{ promptParts: [], lengthHint: null, arrivedAtMs: 0 },
  } as unknown as ForwardedRequest;
  forwarder.forwardRequest(request, reply);
  await clock.advanceAsync(EVENT_AT_MS);
  const world: World = {
    ...{ directory, forwarder, left, release },
    setTable: (next) => {
      table = next;
    },
    quarantine: () => {
      cause = { ...quarantine, remainingMs: 500 };
      listeners.forEach((listener) => listener());
    },
    // All timers that are due by then run without a turn of the event loop between them.
    passDeadline: () => clock.advance(TIMEOUT_MS - clock.readMonotonicMs()),
  };
  const expected = UNSENT_PHASES.has(phase) ? 0 : 1;
  if (sent.length !== expected) return `${kind}, ${phase}: not reached`;
  for (const name of events) {
    EVENTS[name]?.(world);
    for (let turn = 0; turn < gap; turn += 1) await null;
  }
  await clock.advanceAsync(TIMEOUT_MS);
  const answeredWith = answer;
  const answeredAfter = sent.length;
  // What is still waited for resolves after the answer.
  release();
  await clock.advanceAsync(2 * TIMEOUT_MS);
  const label = `${kind}, ${phase}, ${events.join(` +${gap} `)}`;
  const ran = sent.filter(({ mayHaveRun }) => mayHaveRun).length;
  if (ran > 1) return `${label}: sent to ${ran} servers that may have run it`;
  if (ran > 0 && status !== null && PROMISES.has(status)) return `${label}: promised ${status}`;
  if (answeredWith !== null && sent.length > answeredAfter) return `${label}: sent after its end`;
  if (isSentInVain) return `${label}: sent to a server that takes no requests`;
  if (answer === null && !left.signal.aborted) return `${label}: never answered`;
  return null;
};
