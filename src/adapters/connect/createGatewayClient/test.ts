// Symptom: a gateway stops answering, grows past its memory within some hundred ms and is ended, in the
// second in which another gateway leaves.
// Sequence: a call is on its way to a gateway that leaves and says GOAWAY; further calls to it are
// refused together; the first that fails gives the connection up.
// Cause: the connection was given up in the turn of the loop in which the first call failed, while the
// others were about to; that never returned. Evidence: the process spun with the first failure as its
// last act, and did not with the same step put off to the next turn.
import { once } from 'node:events';
import { createServer, type ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { createGatewayClient } from '.';

const PROMPT = { server: 'i-1', tokens: 8200 };

/** A gateway that takes calls and answers none. */
const startSilentGateway = async () => {
  const sessions: ServerHttp2Session[] = [];
  const server = createServer();
  server.on('session', (session) => sessions.push(session));
  server.on('stream', (stream) => stream.on('error', () => undefined));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const stop = (): void => {
    sessions.forEach((session) => session.destroy());
    server.close();
  };
  return { address, server, sessions, stop };
};

const takeTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 0);
  });

test('calls to a gateway that leaves fail, and the next ones open a connection of their own', async (t) => {
  const { address, server, sessions, stop } = await startSilentGateway();
  const client = createGatewayClient();
  const hasArrived = once(server, 'stream');
  client.tellPrompt(address, PROMPT);
  await hasArrived;
  const [leaving] = sessions;
  leaving?.close();
  const isNew = once(server, 'session');
  for (let turn = 0; turn < 10; turn += 1) {
    client.tellPrompt(address, PROMPT);
    client.tellPrompt(address, PROMPT);
    await takeTurn();
  }
  await isNew;
  t.true(sessions.length > 1);
  t.false(await client.askRetry(address, 's'));
  client.close();
  stop();
});
