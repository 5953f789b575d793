// Guards against retries that are spent on servers known to refuse, and are missing where they serve.
import { randomUUID } from 'node:crypto';
import test from 'ava';
import { HEADERS } from '../../platform';
import { startTestGateway } from './_lib/startTestGateway';

/** Calls that come one after the other, at three servers that refuse all of them. */
const CALLS = 12;

test('calls are not sent on to servers that refused a moment ago', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  t.teardown(harness.stop);
  harness.servers.forEach((server) =>
    server.addListener(() => {
      const received = server.takeRequest();
      if (received) server.answer(received, 503, 'full', { [HEADERS.notRun]: '1' });
    }),
  );
  for (let sent = 0; sent < CALLS; sent += 1) {
    const { status } = await harness.send({ target: '/safe/x', id: randomUUID() });
    t.is(status, 503);
  }
  const arrivals = harness.servers.reduce((sum, server) => sum + server.countRequests(), 0);
  // The first call finds all servers full, later ones find that out anew at one server each.
  t.true(arrivals <= CALLS + 2 * harness.servers.length, `${arrivals}`);
});
