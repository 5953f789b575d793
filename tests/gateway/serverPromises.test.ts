// Guards against a promise to callers that a server did not give: a status that means that a request
// has not run, in an answer that does not say so.
import test from 'ava';
import { HEADERS } from '../../platform';
import { buildWireConfiguration } from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

const PROMISES = [408, 429, 503];

interface WireRoute {
  readonly name: string;
}

/** The routes, none of which allows to repeat a stream. */
const listRoutes = (): readonly object[] => {
  const { routes } = buildWireConfiguration() as { readonly routes: readonly WireRoute[] };
  return routes.map((route) => ({ ...route, resumable: false }));
};

const REQUESTS = {
  call: { target: '/unsafe/x' },
  stream: buildStreamRequest(),
} as const;

Object.entries(REQUESTS).forEach(([kind, request]) => {
  test(`a ${kind} that may have run is answered with no promise`, async (t) => {
    const harness = await startTestGateway({ configuration: { routes: listRoutes() } });
    t.teardown(harness.stop);
    const statuses: number[] = [];
    for (const status of PROMISES) {
      const answered = harness.send({ ...request, id: `${kind}-${status}` });
      const taken = await takeNextRequest(harness.servers);
      taken.server.answer(taken.request, status, '{}');
      statuses.push((await answered).status);
    }
    t.deepEqual(
      statuses.filter((status) => PROMISES.includes(status)),
      [],
    );
  });
});

test('a refused call is answered with a promise', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  t.teardown(harness.stop);
  const answered = harness.send(REQUESTS.call);
  const taken = await takeNextRequest(harness.servers);
  taken.server.answer(taken.request, 503, '{}', { [HEADERS.notRun]: '1' });
  t.is((await answered).status, 503);
});
