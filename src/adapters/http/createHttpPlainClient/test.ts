import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { CONNECT_CODES, createSocketBreaker } from '../../../../tests/_lib/createSocketBreaker';
import type { BackendServer } from '../../../domain/types';
import { createHttpPlainClient } from '.';

const CALL = { requestId: 'r-1', method: 'POST', path: '/x', headers: {}, body: Buffer.from('x') };

const NEVER = new AbortController().signal;

const buildServer = (url: string): BackendServer => ({
  name: 'one',
  url,
  region: 'r1',
  availabilityZone: 'z1',
  services: ['billing'],
  slots: 4,
  checksFencing: false,
});

/** Starts a service that passes the connection of each whole request to `handle`. */
const startService = async (handle: (socket: Socket) => void): Promise<Server> => {
  const service = createServer((incoming) => {
    incoming.resume().once('end', () => handle(incoming.socket));
  });
  service.listen(0, '127.0.0.1');
  await once(service, 'listening');
  return service;
};

// Guards against calls that run twice: an established connection that had taken the call broke with
// an error that otherwise means that no connection was made, which counted as not started.
test('a call that a service took is broken whatever its connection ends with', async (t) => {
  const breaker = createSocketBreaker();
  const client = createHttpPlainClient();
  t.teardown(() => client.stop());
  t.teardown(breaker.stop);
  for (const code of CONNECT_CODES) {
    const service = await startService((socket) => breaker.breakOff(socket, code));
    t.teardown(() => service.close());
    const { port } = service.address() as AddressInfo;
    const server = buildServer(`http://127.0.0.1:${port}`);
    for (const repeatable of [false, true]) {
      const sent = await client.sendCall(server, { ...CALL, repeatable }, NEVER);
      t.deepEqual(sent._unsafeUnwrapErr(), { kind: 'broken', reason: code });
    }
  }
});

test('a call to a service without a usable address did not start', async (t) => {
  const client = createHttpPlainClient();
  t.teardown(() => client.stop());
  for (const url of ['http://127.0.0.09:80', 'http://127.0.0.1:99999', 'nowhere']) {
    const sent = await client.sendCall(buildServer(url), { ...CALL, repeatable: false }, NEVER);
    t.is(sent._unsafeUnwrapErr().kind, 'not-started', url);
  }
});

test('a call that is aborted is cancelled, also before it was sent', async (t) => {
  const client = createHttpPlainClient();
  t.teardown(() => client.stop());
  const service = await startService(() => undefined);
  t.teardown(() => service.closeAllConnections());
  t.teardown(() => service.close());
  const { port } = service.address() as AddressInfo;
  const abort = new AbortController();
  const sent = client.sendCall(
    buildServer(`http://127.0.0.1:${port}`),
    { ...CALL, repeatable: false },
    abort.signal,
  );
  abort.abort();
  t.is((await sent)._unsafeUnwrapErr().kind, 'cancelled');
});
