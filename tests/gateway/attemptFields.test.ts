// Guards against a record that can't tell why a request that ran was taken for one that did not.
import test from 'ava';
import { HEADERS, PATHS } from '../../platform';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { startRawServer } from './_lib/startRawServer';
import { startTestGateway } from './_lib/startTestGateway';

test('a failed attempt is logged with the refusal or the answer that ended it', async (t) => {
  const server = await startRawServer('i-1', ({ earlier, headers, socket, target }) => {
    const id = String(headers[HEADERS.requestId] ?? '');
    const isCall = id !== '' && target !== PATHS.report;
    if (!isCall) socket.write(formatRawAnswer(200, { [HEADERS.serverId]: 'i-1' }, '{}'));
    else if (id === 'r-2')
      socket.write(
        formatRawAnswer(503, { [HEADERS.notRun]: '1', [HEADERS.requestId]: `other-${earlier}` }),
      );
    else socket.write(formatRawAnswer(503, { [HEADERS.notRun]: '1', [HEADERS.requestId]: id }));
  });
  const { lines, send, stop } = await startTestGateway({ servers: [server] });
  await send({ target: '/unsafe/1', id: 'r-1', body: 'x' });
  await send({ target: '/unsafe/1', id: 'r-2', body: 'x' });
  const [refused, foreign] = lines.filter(({ message }) => message === 'call attempt failed');
  t.like(refused, { requestId: 'r-1', outcome: 'not-run', basis: 'refused' });
  t.like(foreign, { requestId: 'r-2', outcome: 'failed' });
  t.is(foreign?.basis, undefined);
  t.is(foreign?.answerId, `other-${String(foreign?.earlierRequests)}`);
  await stop();
});

test('a call that no server took is logged as not sent', async (t) => {
  const server = await startRawServer('i-1', ({ socket }) => {
    socket.write(formatRawAnswer(200, { [HEADERS.serverId]: 'i-1' }, '{}'));
  });
  const { lines, send, stop } = await startTestGateway({
    servers: [{ ...server, stop: () => Promise.resolve() }],
  });
  await server.stop();
  await send({ target: '/unsafe/1', id: 'r-1', body: 'x' });
  t.like(
    lines.find(({ message }) => message === 'call attempt failed'),
    { requestId: 'r-1', outcome: 'not-run', basis: 'not-sent' },
  );
  await stop();
});
