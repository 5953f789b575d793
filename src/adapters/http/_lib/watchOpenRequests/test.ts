import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import test from 'ava';
import { watchOpenRequests } from '.';

const REQUESTS = 3;

// Guards against memory that stays held for requests sent ahead on a connection that has closed.
test('all answers of a connection close with it, each once', async (t) => {
  const server = createServer();
  const watch = watchOpenRequests(server);
  const responses: ServerResponse[] = [];
  let closed = 0;
  const taken = new Promise<void>((resolve) => {
    server.on('request', (_, response) => {
      responses.push(response);
      response.on('close', () => {
        closed += 1;
      });
      if (responses.length === REQUESTS) resolve();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(REQUESTS));
  await taken;
  const connection = responses[0]?.req.socket;
  t.truthy(connection);
  if (!connection) return;
  t.is(watch.countOpen(connection), REQUESTS);
  const connectionClosed = once(connection, 'close');
  caller.destroy();
  await connectionClosed;
  await new Promise(setImmediate);
  t.is(watch.countOpen(connection), 0);
  t.is(closed, REQUESTS);
  server.close();
});
