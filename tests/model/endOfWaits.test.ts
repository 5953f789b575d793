// Guards against requests that are held on past their route's time-out, or go on after their callers
// have left, at each place where a request waits.
import test from 'ava';
import { ok } from 'neverthrow';
import { createCrashHistory } from '../../src/application/crashes';
import type { CallerReply, ForwardingDependencies } from '../../src/application/forwarding';
import type { AttemptAnswer, ForwardClient } from '../../src/application/ports';
import { RouteKind, type ForwardedRequest } from '../../src/domain/forwarding';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../standins/fakes';
import {
  createSimulatedDirectory,
  createSimulatedForwarder,
  SIMULATED_SERVICE,
  SIMULATED_TABLE,
} from '../../standins/model';

const TIMEOUT_MS = 1000;

/** A caller that asked for longer: the route's time-out counts. */
const DEADLINE_MS = 4000;

/** An answer may be late by this much. */
const SLACK_MS = 50;

const LEAVES_AT_MS = 300;

const WAITS = ['permit', 'retry', 'trial', 'head', 'body', 'slow caller'] as const;
const KINDS = [RouteKind.Repeatable, RouteKind.Once, RouteKind.Stream] as const;

type Wait = (typeof WAITS)[number];

const never = <T>(): Promise<T> => Promise.race<T>([]);

const buildHead = (status: number): AttemptAnswer['head'] => ({
  status,
  forwardedHeaders: [],
  isFramed: true,
  isVerified: true,
  isNotExecuted: false,
  isFromOtherServer: false,
  serverId: null,
  isLeaving: false,
  load: null,
  pauseMs: 0,
  limitPerS: null,
  maxRejectionsPerS: null,
});

async function* sendEventThenWait() {
  yield Buffer.from('id: 1\ndata: x\n\n');
  await never();
}

async function* sendNothing() {
  yield* [] as Buffer[];
}

/** Sends a request that waits at one place for good; returns when it ended and what was sent. */
const play = async (kind: RouteKind, wait: Wait, leavesAtMs: number | null) => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(1);
  const ids = ['i-1', 'i-2', 'i-3'];
  const directory = createSimulatedDirectory(clock, ids);
  const host = 'h';
  const routes = SIMULATED_TABLE.routesByHost.get(host) ?? [];
  const table = {
    ...SIMULATED_TABLE,
    routesByHost: new Map([[host, routes.map((one) => ({ ...one, kind, timeoutMs: TIMEOUT_MS }))]]),
  };
  const left = new AbortController();
  const sentAtMs: number[] = [];
  let endedAtMs: number | null = null;
  let isEnded = false;
  let hasSentHead = false;
  const end = (): void => {
    endedAtMs ??= clock.readMonotonicMs();
    isEnded = true;
  };
  const reply: CallerReply = {
    callerLeft: left.signal,
    isOpen: () => !isEnded && !left.signal.aborted,
    hasSentHead: () => hasSentHead,
    sendRefusal: end,
    sendResponse: end,
    acquireBytes: () => true,
    sendHead: () => {
      hasSentHead = true;
    },
    write: () => true,
    waitForDrain: () => (wait === 'slow caller' ? never() : Promise.resolve()),
    end,
    destroy: end,
  };
  const body = { body: sendEventThenWait, 'slow caller': sendEventThenWait } as const;
  const client = {
    sendAttempt: async (_: unknown, signal: AbortSignal) => {
      sentAtMs.push(clock.readMonotonicMs());
      // The first attempt fails, so that the next one needs a retry.
      const isFailing = wait === 'retry' || (wait === 'trial' && sentAtMs.length === 1);
      if (wait === 'head') {
        await new Promise((resolve) => {
          signal.addEventListener('abort', resolve);
        });
      }
      return ok({
        head: buildHead(isFailing ? 500 : 200),
        relay: null,
        body: wait in body && !isFailing ? sendEventThenWait() : sendNothing(),
        readEnd: () => 'complete',
        recordProgress: () => undefined,
      });
    },
    readReport: async () => null,
    dropCopy: () => undefined,
    removeServer: () => undefined,
  } as unknown as ForwardClient;
  const crashes = createCrashHistory({
    clock,
    log: QUIET_LOG,
    listServers: () => directory.listServing(SIMULATED_SERVICE).map(({ entry }) => entry),
    publishOutcome: () => undefined,
    handleQuarantine: () => undefined,
  } as unknown as Parameters<typeof createCrashHistory>[0]);
  const cause = { kind: 'request', remainingMs: 0, isCertain: true, trialPauseMs: 1 };
  const overrides = {
    ...(wait === 'permit' ? { permits: { acquirePermit: () => never() } } : {}),
    ...(wait === 'retry' ? { lender: { acquireRetry: () => never() } } : {}),
    ...(wait === 'trial'
      ? {
          crashes: { ...crashes, isEmpty: () => false, findCause: () => cause },
          crashTrials: { acquireTrial: () => never() },
        }
      : {}),
  } as unknown as Partial<ForwardingDependencies>;
  const forwarder = createSimulatedForwarder({
    index: 0,
    vms: 3,
    client,
    clock,
    crashes,
    directory,
    randomness,
    table,
    overrides,
  });
  const request = {
    requestId: 'r',
    method: 'POST',
    host,
    target: '/p/x',
    key: null,
    headers: [],
    body: Buffer.alloc(0),
    deadlineMs: DEADLINE_MS,
    lastEventId: null,
    tokens: null,
    promptParts: [],
    lengthHint: null,
    arrivedAtMs: 0,
  } as unknown as ForwardedRequest;
  let resolvedAtMs: number | null = null;
  forwarder.forwardRequest(request, reply).then(() => {
    resolvedAtMs = clock.readMonotonicMs();
  });
  for (let atMs = 0; atMs < DEADLINE_MS + 1000; atMs += 10) {
    if (atMs === leavesAtMs) left.abort();
    await clock.advanceAsync(10);
  }
  return { endedAtMs, resolvedAtMs, sentAtMs };
};

test("a request is answered at its route's time-out, whatever it waits for", async (t) => {
  const held: string[] = [];
  for (const kind of KINDS) {
    for (const wait of WAITS) {
      const { endedAtMs } = await play(kind, wait, null);
      if ((endedAtMs ?? Infinity) > TIMEOUT_MS + SLACK_MS)
        held.push(`${kind}, ${wait}: ${endedAtMs}`);
    }
  }
  t.deepEqual(held, []);
});

test('a request ends when its caller leaves, whatever it waits for', async (t) => {
  const held: string[] = [];
  for (const kind of KINDS) {
    for (const wait of WAITS) {
      const { resolvedAtMs, sentAtMs } = await play(kind, wait, LEAVES_AT_MS);
      const sentLate = sentAtMs.filter((atMs) => atMs > LEAVES_AT_MS + SLACK_MS);
      if ((resolvedAtMs ?? Infinity) > LEAVES_AT_MS + SLACK_MS || sentLate.length > 0)
        held.push(`${kind}, ${wait}: ended ${resolvedAtMs}, sent ${sentLate.join(' ')}`);
    }
  }
  t.deepEqual(held, []);
});
