import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import test from 'ava';
import { watchOpenRequests } from '../watchOpenRequests';
import { limitOpenRequests, MAX_OPEN_REQUESTS } from '.';

/** Sends requests ahead; resolves with how many were handed on, and whether the connection closed. */
const sendAhead = async (count: number) => {
  let handled = 0;
  let exceeded = 0;
  const server = createServer((_, response) => {
    handled += 1;
    setImmediate(() => response.end('answer'));
  });
  limitOpenRequests(server, watchOpenRequests(server), () => {
    exceeded += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let answers = 0;
  caller.on('error', () => undefined);
  const ended = new Promise<void>((resolve) => {
    caller.on('data', (bytes) => {
      answers += bytes.toString().split('HTTP/1.1 200').length - 1;
      if (answers === count) resolve();
    });
    caller.on('close', () => resolve());
  });
  caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(count));
  await ended;
  caller.destroy();
  server.close();
  return { answers, exceeded, handled };
};

test('as many requests as the limit are all answered', async (t) => {
  const { answers, exceeded } = await sendAhead(MAX_OPEN_REQUESTS);
  t.is(answers, MAX_OPEN_REQUESTS);
  t.is(exceeded, 0);
});

// Guards against memory that is filled by requests sent ahead.
test('one request more closes the connection, and is handed to nobody', async (t) => {
  const { exceeded, handled } = await sendAhead(3 * MAX_OPEN_REQUESTS);
  t.is(exceeded, 1);
  t.is(handled, MAX_OPEN_REQUESTS);
});
