// Guards against calls that go on to fail on the connections of a gateway that has left, and against a
// caller that stops answering as several of them fail at once.
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { createGatewayClient } from '.';

const PROMPT = { server: 'i-1', tokens: 8200 };

/** A gateway that takes calls and answers none. */
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

test('calls to a gateway that leaves fail, and the next ones open a connection of their own', async (t) => {
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
  t.false(await client.borrowRetry(address, 's'));
  client.close();
  stop();
});
