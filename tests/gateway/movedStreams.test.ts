import test from 'ava';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { formatStandInEvent, type StandInServer } from '../../standins/gateway';
import { buildChangedConfiguration } from './_lib/buildChangedConfiguration';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { formatEvents } from './_lib/formatEvents';
import { startTestGateway } from './_lib/startTestGateway';

const LAST_EVENT = 12;
const EVENT_INTERVAL_MS = 100;

/** Builds a configuration whose routes allow one server, and whose service may move runs or not. */
const buildConfiguration = (version: number, moves: boolean): object =>
  buildChangedConfiguration({
    version,
    route: { max_attempts: 1 },
    engine: { backups: false, moves },
  });

// Guards against streams that are cut by the gateway itself: it stops a run at its sound server
// though no attempt is left, and no server takes the copy.
test('a stream without an attempt left survives a move that no server goes on with', async (t) => {
  const harness = await startTestGateway({
    configuration: buildConfiguration(2, false),
  });
  t.teardown(harness.stop);
  const serveNext = (server: StandInServer): void => {
    const request = server.takeRequest();
    if (!request) return;
    if (request.headers[HEADERS.kvFrom] !== undefined) {
      server.answer(request, 503, '', { [HEADERS.notRun]: '1' });
      return;
    }
    const firstEvent = Number(request.headers[HEADERS.lastEventId] ?? 0) + 1;
    server.startStream(request);
    server.sendEvents(request, firstEvent, firstEvent);
    let event = firstEvent;
    const timer = setInterval(() => {
      event += 1;
      server.sendEvents(request, event, event);
      if (event >= LAST_EVENT) request.response.end();
    }, EVENT_INTERVAL_MS);
    request.response.on('close', () => clearInterval(timer));
  };
  harness.servers.forEach((server) => server.addListener(() => serveNext(server)));
  const followed = harness.follow(buildStreamRequest());
  await followed.waitForText(formatStandInEvent(1));
  harness.store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildConfiguration(3, true));
  const answer = await followed.done;
  t.true(answer.isWhole);
  t.is(answer.body, formatEvents(1, LAST_EVENT));
});
