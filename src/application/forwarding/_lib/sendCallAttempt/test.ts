import test from 'ava';
import { err, ok } from 'neverthrow';
import { buildServerStatus, createFakeClock } from '../../../../../standins/fakes';
import { RouteKind } from '../../../../domain/forwarding';
import type { AttemptAnswer, AttemptError } from '../../../ports';
import { createServerPaces } from '../../../paces';
import type { ForwardContext, ForwardingDependencies } from '../../types';
import { sendCallAttempt } from '.';

const SERVER = buildServerStatus('a', 'z1').entry;
const PACED = { service: 's', incarnation: 'a' };

/** Sends a call that takes 50 ms and has the given result. */
const sendCall = async (change: Partial<AttemptAnswer['head']> | AttemptError) => {
  const clock = createFakeClock();
  const serverPaces = createServerPaces({ clock });
  const ignore = (): void => undefined;
  const head = {
    status: 200,
    isVerified: true,
    isNotExecuted: false,
    isFromOtherServer: false,
    pauseMs: 0,
    limitPerS: null,
    maxRejectionsPerS: null,
    load: { running: 1, waiting: 0, slots: 6, workFactor: 2.5 },
    ...change,
  };
  const dependencies = {
    clock,
    serverPaces,
    paths: { recordFailure: ignore },
    unread: { recordAnswer: ignore },
    limits: { recordAdvertisedLimit: ignore },
    directory: {
      startWork: () => ({ release: ignore }),
      recordLoad: ignore,
      recordSuccess: ignore,
      recordAlive: ignore,
      recordSuspicion: ignore,
    },
    client: {
      sendAttempt: async () => {
        clock.advance(50);
        return 'kind' in change
          ? err(change)
          : ok({
              head,
              relay: null,
              body: [],
              readEnd: () => 'complete',
              recordProgress: () => undefined,
            });
      },
    },
  } as unknown as ForwardingDependencies;
  const reply = { callerLeft: new AbortController().signal };
  const route = { kind: RouteKind.Once };
  const context = { request: {}, reply, route, holder: null } as unknown as ForwardContext;
  await sendCallAttempt(dependencies, context, SERVER, {
    leftMs: 1000,
    attemptMs: 500,
    reserveNext: async () => true,
  });
  return serverPaces;
};

test('an answered call is a sample of the pace, without the factor that its answer states', async (t) => {
  const pace = (await sendCall({})).readPace(PACED);
  t.is(pace.callMs, 20);
  t.is(pace.workFactor, 2.5);
});

// Guards against a server that looks fast as it refuses calls or fails at once.
test('a call that failed or was refused is no sample; the factor of its answer counts', async (t) => {
  for (const change of [{ status: 500 }, { status: 404 }, { status: 503, isNotExecuted: true }]) {
    const pace = (await sendCall(change)).readPace(PACED);
    t.is(pace.callMs, 0);
    t.is(pace.workFactor, 2.5);
  }
  const broken = await sendCall({
    kind: 'broken',
    reason: 'reset',
    connection: 'reset',
    relay: null,
  });
  t.is(broken.readPace(PACED).callMs, 0);
  t.false(broken.isUneven('s'));
});

test('a service whose answers state no factor is not uneven', async (t) => {
  const load = { running: 1, waiting: 0, slots: 6, workFactor: null };
  t.false((await sendCall({ load })).isUneven('s'));
});
