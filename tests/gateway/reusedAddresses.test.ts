// Guards against requests that a server of another service gets: a VM that was stopped read the last
// bytes of a crashed server late, and took its address for still reserved.
import { request as sendRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { drawLoopbackHost } from '../../standins/_lib/drawLoopbackHost';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  TEST_KEY,
} from '../../standins/gateway';
import { buildPeerAddress, startGatewayProcess } from './_lib/startGatewayProcess';

/** Time after the end of a server from which another service may use its address. */
const REUSE_MS = 2000;

const EVENT_MS = 30;

const STREAM_DEADLINE_MS = 9000;

/** Sends a request, and resolves once it has ended in whatever way. */
const send = (url: string, path: string, id: string, deadlineMs = 1500): Promise<void> =>
  new Promise((resolve) => {
    const sent = sendRequest(new URL(path, url), {
      method: 'POST',
      agent: false,
      headers: {
        host: 'a.example',
        [HEADERS.requestId]: id,
        [HEADERS.deadlineMs]: String(deadlineMs),
        [HEADERS.tokenSizes]: '100,40',
        [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
      },
    });
    sent.on('response', (response) => response.resume().on('close', resolve));
    sent.on('error', () => resolve());
    sent.end('x');
  });

const play = async (freezeMs: number, crashAfterMs: number): Promise<readonly string[]> => {
  const store = await createStandInStore();
  const first = await createStandInServer('i-1');
  store.writeRow(TABLES.servers, first.id, buildWireEntry(first));
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());
  const ips = [drawLoopbackHost(), drawLoopbackHost()];
  const seeds = ips.map(buildPeerAddress);
  const gateways = await Promise.all(
    ips.map((ip, index) =>
      startGatewayProcess({
        ...{ vm: `vm-${index + 1}`, zone: 'z1', ip, seeds },
        storeUrl: store.url,
        reuseAfterS: REUSE_MS / 1000,
      }),
    ),
  );
  const [frozen, other] = gateways;
  if (!frozen || !other) throw new Error('no gateways');
  const stream = send(frozen.callerUrl, '/stream/x', 'long', STREAM_DEADLINE_MS);
  const running = await first.nextRequest();
  first.startStream(running);
  let event = 0;
  const sendEvents = setInterval(() => {
    event += 1;
    first.sendEvents(running, event, event);
  }, EVENT_MS);
  await wait(500);
  frozen.freeze();
  const resumed = wait(freezeMs).then(frozen.resume);
  await wait(crashAfterMs);
  clearInterval(sendEvents);
  await first.crash();
  await wait(REUSE_MS);
  const foreign = await createStandInServer('i-9', { address: first.address });
  foreign.addListener(() => {
    const request = foreign.takeRequest();
    if (request) foreign.answer(request, 200, 'of another service');
  });
  await resumed;
  for (let turn = 0; turn < 8; turn += 1) {
    await Promise.all([
      wait(100),
      ...gateways.map(({ callerUrl, vm }) => send(callerUrl, '/safe/x', `${vm}-${turn}`)),
    ]);
  }
  const inferred = gateways.flatMap(({ lines, vm }) =>
    lines.filter(({ message }) => message === 'server inferred').map(() => `inferred by ${vm}`),
  );
  const found = [`${foreign.countRequests()} requests`, ...inferred];
  await Promise.all([stream, ...gateways.map((gateway) => gateway.stop())]);
  await Promise.all([store.stop(), foreign.stop()]);
  return found;
};

test('a VM that was stopped does not take a server of another service for a restarted one', async (t) => {
  const plays = [
    [2500, 200],
    [4000, 1700],
  ] as const;
  const found = await Promise.all(plays.map(([freezeMs, crashMs]) => play(freezeMs, crashMs)));
  t.deepEqual(
    found,
    plays.map(() => ['0 requests']),
  );
});
