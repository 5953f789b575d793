import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import test from 'ava';
import { discardBody } from '.';

const MAX_BYTES = 100_000;

/** Sends a chunked body whose answer comes first; resolves with what the caller got. */
const sendBody = async (bytes: number, isEnded: boolean): Promise<string> => {
  const server = createServer((incoming, response) => {
    response.end('refused');
    discardBody(incoming, MAX_BYTES);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let answer = '';
  caller.on('error', () => undefined);
  caller.on('data', (data) => {
    answer += data.toString();
  });
  const closed = once(caller, 'close');
  const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
  const connection = isEnded ? 'close' : 'keep-alive';
  caller.write(
    `POST / HTTP/1.1\r\nhost: h\r\nconnection: ${connection}\r\ntransfer-encoding: chunked\r\n\r\n`,
  );
  caller.write(chunk + (isEnded ? '0\r\n\r\n' : ''));
  await closed;
  server.close();
  return answer;
};

test('a body within the limit is discarded, and its caller gets the answer', async (t) => {
  t.regex(await sendBody(MAX_BYTES, true), /refused/);
});

// Guards against refused bodies without end, which are read on for as long as they come.
test('a body beyond the limit closes the connection', async (t) => {
  await sendBody(MAX_BYTES + 1, false);
  t.pass();
});
