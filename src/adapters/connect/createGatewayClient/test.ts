// Guards against two failures: calls that keep failing on dead connections of a gateway that has
// shut down, and a client that hangs when several calls on one connection fail at once.
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { createGatewayClient } from '.';

const PROMPT = { server: 'i-1', tokens: 8200 };

/** Starts a gateway that accepts calls and never responds. */
const startSilentGateway = async () => {
  const sockets: Socket[] = [];
  const server = createServer();
  server.on('connection', (socket) => sockets.push(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const stop = (): void => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  };
  return { address, server, sockets, stop };
};

const waitForNextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 0);
  });

test('after a gateway resets its connections, calls fail and later calls open new ones', async (t) => {
  const { address, server, sockets, stop } = await startSilentGateway();
  const client = createGatewayClient();
  const firstRequest = once(server, 'request');
  client.tellPrompt(address, PROMPT);
  client.tellPrompt(address, PROMPT);
  await firstRequest;
  const before = sockets.length;
  sockets.forEach((socket) => socket.resetAndDestroy());
  const newConnection = once(server, 'connection');
  for (let turn = 0; turn < 10; turn += 1) {
    client.tellPrompt(address, PROMPT);
    client.tellPrompt(address, PROMPT);
    await waitForNextTurn();
  }
  await newConnection;
  t.true(sockets.length > before);
  t.is(await client.borrowRetry(address, { service: 's', id: '1' }), null);
  client.close();
  stop();
});
