import test from 'ava';
import { HEADERS } from '../../platform';
import { createStandInServer } from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { formatEvents } from './_lib/formatEvents';
import { takeNextRequest } from './_lib/takeNextRequest';
import { sendEvents } from './_lib/sendEvents';
import { startTestGateway } from './_lib/startTestGateway';

// Symptom: in an outage of the store 1 stream in 5 is served for ten seconds.
// Sequence: a server crashes and starts again at its address; its new id stands in the store only,
// which says nothing.
// Cause: the id that its own answers bear was thrown away.
test('a stream goes on at a restarted server whose new id the store does not tell', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1'] });
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 3);
  await followed.waitForText('piece 3');
  await first.server.crash();
  const port = Number(first.server.address.split(':')[1]);
  const restarted = await createStandInServer('i-9', { port });
  const second = await takeNextRequest([restarted]);
  t.is(second.request.headers[HEADERS.lastEventId], '3');
  t.is(second.request.headers[HEADERS.expectServer], 'i-9');
  sendEvents(second, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  t.is((await bench.waitForLine('server inferred')).server, 'i-9');
  await restarted.stop();
  await bench.stop();
});
