import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { PATHS, createStoreClient, TABLES } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { createStandInStore } from '../../standins/gateway';

const ANSWER = JSON.stringify({ rows: [{ key: 'a', value: 'eA==', ver: 3 }], ver: 3 });

/** Starts a store whose answers the test sends in parts. */
const setUp = async () => {
  const clock = createFakeClock();
  let resolveAsked: (response: ServerResponse) => void = () => undefined;
  const asked = new Promise<ServerResponse>((resolve) => {
    resolveAsked = resolve;
  });
  const server = createServer((_request, response) => resolveAsked(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = createStoreClient(`http://127.0.0.1:${port}`, { clock });
  const stop = async (): Promise<void> => {
    await client.stop();
    server.closeAllConnections();
    server.close();
  };
  return { asked, client, clock, stop };
};

/** Resolves once the client has received the previous part, which restarts its timer. */
const waitForRestart = async (counter: { readonly starts: number }): Promise<void> => {
  const before = counter.starts;
  while (counter.starts === before) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
};

// Guards against a read that is restarted forever: after all VMs lost power, 52 of 58 had no
// configuration for 16 s and refused everything. The configuration had 2,000 routes, which a VM
// with 7 Mbit/s receives in 0.7 s, and the timeout of 0.6 s covered the whole answer.
test('an answer that arrives slowly is read to its end', async (t) => {
  const { asked, client, clock, stop } = await setUp();
  const counter = { starts: 0 };
  const { startTimer } = clock;
  Object.assign(clock, {
    startTimer: (...args: Parameters<typeof startTimer>) => {
      counter.starts += 1;
      return startTimer(...args);
    },
  });
  const read = client.readRows(TABLES.operator);
  const response = await asked;
  for (const part of [ANSWER.slice(0, 10), ANSWER.slice(10, 20), ANSWER.slice(20)]) {
    clock.advance(500);
    const restarted = waitForRestart(counter);
    response.write(part);
    await restarted;
  }
  response.end();
  t.is((await read)._unsafeUnwrap().version, 3);
  await stop();
});

// Guards against overdue changes after an outage (see storeOutages.test.ts): the store falls silent
// during a waiting call whose connection stays open, so that only the timeout of the call reveals
// the loss.
test('a waiting call that a silent store lost times out, and the next one is answered', async (t) => {
  const clock = createFakeClock();
  const store = await createStandInStore();
  const client = createStoreClient(store.url, { clock });
  const { signal } = new AbortController();
  const isWaiting = store.waitForCall(PATHS.followRows);
  const lost = client.followRows(TABLES.operator, { version: 0, waitMs: 1700 }, signal);
  await isWaiting;
  store.setMode('silent');
  store.writeRow(TABLES.operator, 'a', {});
  store.setMode('up');
  clock.advance(2299);
  t.is(await Promise.race([lost, 'waits']), 'waits');
  clock.advance(1);
  t.is((await lost)._unsafeUnwrapErr().kind, 'unavailable');
  const next = await client.followRows(TABLES.operator, { version: 0, waitMs: 0 }, signal);
  t.deepEqual(
    next._unsafeUnwrap().rows.map(({ key }) => key),
    ['a'],
  );
  await client.stop();
  await store.stop();
});

test('an answer that stops arriving is given up', async (t) => {
  const { asked, client, clock, stop } = await setUp();
  const read = client.readRows(TABLES.operator);
  const response = await asked;
  response.write(ANSWER.slice(0, 10));
  clock.advance(600);
  clock.advance(600);
  t.deepEqual((await read)._unsafeUnwrapErr(), {
    kind: 'unavailable',
    reason: 'no answer in time',
  });
  await stop();
});
