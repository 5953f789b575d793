import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { startCallerServer } from '.';

const HEAD = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

// Guards against an error of the connection that a caller takes for the answer to its running request.
test('malformed bytes after a request get no answer in place of it', async (t) => {
  let start: () => void = () => undefined;
  const started = new Promise<void>((resolve) => {
    start = resolve;
  });
  const app = {
    fetch: async (): Promise<Response> => {
      start();
      return Promise.race<Response>([]);
    },
  };
  const server = (await startCallerServer(app, { host: '127.0.0.1', port: 0 }))._unsafeUnwrap();
  t.teardown(server.stop);
  const socket = connect(Number(new URL(server.url).port), '127.0.0.1');
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    text += String(bytes);
  });
  socket.write(HEAD);
  await started;
  const closed = once(socket, 'close');
  socket.write('no head at all\r\n\r\n');
  await closed;
  t.is(text, '');
});
