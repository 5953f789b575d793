// Guards against a caller or a server that speaks in a relay's name: with the headers that VMs use
// between them, it made the relay count as lost, or a request that ran count as not sent.
import test, { type ExecutionContext } from 'ava';
import { HEADERS } from '../../platform';
import { RELAY_HEADERS } from '../../src/application/paths';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { readAll } from './_lib/readAll';
import { startRawServer } from './_lib/startRawServer';
import { startTestRelay } from './_lib/startTestRelay';

/** Sends a request through a relay; caller and server add a header to what they send. */
const sendRelayed = async (
  t: ExecutionContext,
  { called = [], answered = {} }: { called?: readonly string[]; answered?: Record<string, string> },
) => {
  const server = await startRawServer('i-1', ({ headers, socket }) => {
    const id = String(headers[HEADERS.requestId]);
    const own = { [HEADERS.requestId]: id, [HEADERS.signature]: 's', ...answered };
    socket.write(formatRawAnswer(200, own, 'own'));
  });
  t.teardown(server.stop);
  const relay = await startTestRelay([server]);
  t.teardown(relay.stop);
  const attempt = buildTestAttempt('127.0.0.1:1', server.id);
  const { request } = attempt;
  const forwardedHeaders = [...request.forwardedHeaders, ...called];
  const sent = await relay.client.sendAttempt(
    { ...attempt, request: { ...request, forwardedHeaders } },
    new AbortController().signal,
  );
  const outcome = sent.isOk() ? await readAll(sent.value.body) : sent.error;
  return { outcome, observed: relay.observed };
};

Object.values(RELAY_HEADERS).forEach((name) => {
  test(`a caller that sends ${name} changes nothing at the relay`, async (t) => {
    const spelled = name.replace('jackdaw', 'Jackdaw');
    const { observed, outcome } = await sendRelayed(t, { called: [spelled, 'x'] });
    t.is(outcome, 'own');
    t.deepEqual(observed, []);
  });

  test(`a server that answers with ${name} says nothing of the relay`, async (t) => {
    const value = name === RELAY_HEADERS.end ? 'unsent' : 'none';
    const { observed, outcome } = await sendRelayed(t, { answered: { [name]: value } });
    t.is(outcome, 'own');
    t.deepEqual(observed, []);
  });
});
