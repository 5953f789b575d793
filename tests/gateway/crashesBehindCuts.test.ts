// Guards against requests that crash all servers as the end of an attempt is no evidence: behind a
// relay, without framing, or before the head of the response.
import { setTimeout as wait } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { request as send } from 'undici';
import { HEADERS } from '../../platform';
import { TEST_KEY, type ReceivedRequest, type StandInServer } from '../../standins/gateway';
import { startGatewayFleet, type FleetVm } from './_lib/startGatewayFleet';
import { sendFirstTries } from './_lib/sendFirstTries';
import { startUnframedStream } from './_lib/startUnframedStream';

const SERVERS = 18;
const REPEATS = 24;
const REPEAT_GAP_MS = 300;
const DEADLINE_MS = 4000;

/** Servers that the request may crash, and sends later than contact time that it may have then. */
const CRASHES = 3;
const CONTACT_MS = 3000;
const MAX_LATER_SENDS = 3;

const BAD = 'again';

/** Time that a server runs the request before it crashes. */
const RUN_MS = 30;

/** A request that crashes servers, and how these end. */
interface CrashCase {
  readonly target: string;
  readonly isCut: boolean;
  readonly crash: (server: StandInServer, request: ReceivedRequest) => Promise<void>;
}

const crashUnframed: CrashCase['crash'] = async (server, request) => {
  startUnframedStream({ request, server });
  await wait(RUN_MS);
  request.response.end();
  await server.crash();
};

const CASES: Readonly<Record<string, CrashCase>> = {
  'a call that reaches servers through relays': {
    target: `/safe/${BAD}`,
    isCut: true,
    crash: (server) => server.crash(),
  },
  'a stream without framing that reaches servers through relays': {
    target: `/stream/${BAD}`,
    isCut: true,
    crash: crashUnframed,
  },
  'a call without framing': { target: `/safe/${BAD}`, isCut: false, crash: crashUnframed },
  'a stream that crashes servers before the head': {
    target: `/stream/${BAD}`,
    isCut: false,
    crash: (server) => server.crash(),
  },
};

/** Sends the request once, at one VM after the other. */
const sendRepeat = async (vm: FleetVm, target: string, index: number): Promise<void> => {
  try {
    const response = await send(`${vm.gateway.callerUrl}${target}`, {
      headers: {
        host: 'a.example',
        [HEADERS.requestId]: `repeat-${index}`,
        [HEADERS.deadlineMs]: String(DEADLINE_MS),
        [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
      },
      signal: AbortSignal.timeout(DEADLINE_MS),
    });
    await response.body.dump();
  } catch {
    // The answer is not what is tested.
  }
};

const run = async (t: ExecutionContext, { crash, isCut, target }: CrashCase): Promise<void> => {
  const sentAtMs: number[] = [];
  const crashedAtMs: number[] = [];
  const handleRequests = (server: StandInServer): void =>
    server.addListener(async () => {
      const request = server.takeRequest();
      if (!request) return;
      if (request.target.endsWith(BAD)) {
        sentAtMs.push(performance.now());
        await wait(RUN_MS);
        await crash(server, request);
        crashedAtMs.push(performance.now());
      } else if (request.target.startsWith('/stream/')) {
        server.startStream(request);
        server.sendEvents(request, 1, 3);
        request.response.end();
      } else server.answer(request, 200, 'yes');
    });
  const serverZones = Array.from({ length: SERVERS }, (_, index) => `z${(index % 2) + 1}`);
  const { stop, vms } = await startGatewayFleet({ handleRequests, serverZones });
  t.teardown(stop);
  const asked = isCut ? vms.slice(0, 2) : vms;
  if (isCut) await Promise.all(asked.map((vm) => vm.cutFromServers('reset')));
  await Promise.all(vms.map(({ gateway }) => sendFirstTries(gateway, { count: 20, pauseMs: 150 })));
  const repeats: Promise<void>[] = [];
  for (let index = 0; index < REPEATS; index += 1) {
    repeats.push(sendRepeat(asked[index % asked.length] as FleetVm, target, index));
    await wait(REPEAT_GAP_MS);
  }
  await Promise.all(repeats);
  const thirdMs = crashedAtMs[CRASHES - 1] ?? Infinity;
  const later = sentAtMs.filter((atMs) => atMs > thirdMs + CONTACT_MS).length;
  t.log({ crashed: crashedAtMs.length, sent: sentAtMs.length, later });
  t.true(crashedAtMs.length >= CRASHES, 'the request crashed no server');
  t.true(crashedAtMs.length < SERVERS, 'all servers crashed');
  t.true(later <= MAX_LATER_SENDS, `sent ${later} times after contact time`);
};

Object.entries(CASES).forEach(([name, crashCase]) => {
  test.serial(`${name} does not crash all servers`, (t) => run(t, crashCase));
});
