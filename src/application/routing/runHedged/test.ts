import test from 'ava';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Demand } from '../../../domain/types';
import type { Slot } from '../../ports';
import { buildServer } from '../_lib/createRouterFixture';
import { runHedged } from '.';

const DEMAND: Demand = {
  requestId: 'r',
  workspace: 'w',
  service: 'lookup',
  workClass: 'lookup',
  purpose: 'start',
  prefixes: [],
  promptTokens: 1,
  maxOutputTokens: 1,
  excludedServers: [],
  deadlineMs: 1000,
};

/** Runs a hedged request whose delay passes at once; `finishes` ends the leg of a server. */
const startHedge = (
  mayHedge: boolean,
  servers: readonly string[],
  signal = new AbortController().signal,
) => {
  const released: string[] = [];
  const cancelled: string[] = [];
  const demands: Demand[] = [];
  const finishes = new Map<string, (result: Result<string, string>) => void>();
  const router = {
    acquireSlot: async (demand: Demand) => {
      const name = servers[demands.length];
      demands.push(demand);
      if (name === undefined)
        return err({ code: 'queue_full', message: '', retryAfterMs: 0 } as const);
      const slot: Slot = {
        server: buildServer(name, ['lookup'], 1),
        priority: 0,
        release: ({ outcome }) => released.push(`${name} ${outcome}`),
      };
      return ok(slot);
    },
  };
  const clock = {
    readWallMs: () => 0,
    readMonotonicMs: () => 0,
    readIdleMs: () => 0,
    startTimer: (_: number, callback: () => void) => {
      queueMicrotask(callback);
      return () => {};
    },
  };
  const outcome = runHedged<string, string>(
    { router, clock },
    {
      demand: DEMAND,
      mayHedge,
      hedgeDelayMs: 10,
      signal,
      runLeg: ({ server }, legSignal) =>
        new Promise((resolve) => {
          finishes.set(server.name, resolve);
          const cancel = (): void => {
            cancelled.push(server.name);
            resolve(err('cancelled'));
          };
          if (legSignal.aborted) cancel();
          else legSignal.addEventListener('abort', cancel);
        }),
    },
  );
  return { outcome, released, cancelled, demands, finishes };
};
const settle = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('when the second leg wins, the first is cancelled and its slot released', async (t) => {
  const hedge = startHedge(true, ['a', 'b']);
  await settle();
  t.deepEqual(hedge.demands[1]?.excludedServers, ['a']);
  t.is(hedge.demands[1]?.purpose, 'hedge');
  hedge.finishes.get('b')?.(ok('answer'));
  const winner = (await hedge.outcome)._unsafeUnwrap();
  await settle();
  t.is(winner.slot.server.name, 'b');
  t.deepEqual(hedge.cancelled, ['a']);
  t.deepEqual(hedge.released, ['a cancelled']);
});

test('when one leg fails, the other keeps running', async (t) => {
  const hedge = startHedge(true, ['a', 'b']);
  await settle();
  hedge.finishes.get('a')?.(err('broken'));
  await settle();
  hedge.finishes.get('b')?.(ok('answer'));
  t.is((await hedge.outcome)._unsafeUnwrap().value, 'answer');
  t.deepEqual(hedge.released, ['a failed']);
});

test('a request that may not be hedged or finds no second slot runs a single leg', async (t) => {
  const single = startHedge(false, ['a', 'b']);
  await settle();
  t.is(single.demands.length, 1);
  single.finishes.get('a')?.(ok('answer'));
  t.true((await single.outcome).isOk());
  const full = startHedge(true, ['a']);
  await settle();
  t.is(full.demands.length, 2);
  full.finishes.get('a')?.(err('broken'));
  t.like((await full.outcome)._unsafeUnwrapErr(), { kind: 'failed', error: 'broken' });
  t.like((await startHedge(true, []).outcome)._unsafeUnwrapErr(), { kind: 'refused' });
});

// Guards against a leg that runs to its end for nobody: the caller left while the leg's slot was
// acquired, and an aborted signal sends no further event.
test('a leg whose request was aborted before it starts is cancelled', async (t) => {
  const hedge = startHedge(false, ['a'], AbortSignal.abort());
  await settle();
  t.deepEqual(hedge.cancelled, ['a']);
  t.like((await hedge.outcome)._unsafeUnwrapErr(), { kind: 'failed', error: 'cancelled' });
});
