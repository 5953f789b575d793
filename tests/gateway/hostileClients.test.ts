// Guards against clients outside the limits that end or hang a gateway: one that counts what they send
// and not what it holds for them runs out of memory, and its ordinary callers get no answer.
import { setTimeout } from 'node:timers/promises';
import test from 'ava';
import { request } from 'undici';
import { HEADERS } from '../../platform';
import { TEST_KEY } from '../../standins/gateway';
import { startHostileClients, type HostileForm } from './_lib/startHostileClients';
import { startLoneGateway } from './_lib/startLoneGateway';

/** Memory and descriptors of the machine: beyond these the platform ends the process. */
const MEMORY_MB = 350;
const MAX_DESCRIPTORS = 4100;

const LIMITS = {
  max_header_bytes: 8192,
  max_body_bytes: 1_000_000,
  header_timeout_ms: 5000,
  idle_timeout_ms: 15_000,
};

const SERVED = '/unsafe/x';
const UNKNOWN = '/none/x';

interface Group {
  readonly form: HostileForm;
  readonly target: string;
  readonly clients: number;
}

/** Tries of the ordinary caller after the crowd, and the longest time of one. */
const TRIES = 10;
const TRY_MS = 5000;
const RETRY_AFTER_MS = 500;

/** Sends an ordinary request until it is served; false if it never is. */
const isServed = async (url: string): Promise<boolean> => {
  for (let count = 0; count < TRIES; count += 1) {
    const response = await request(`${url}${SERVED}`, {
      method: 'POST',
      body: 'x',
      reset: true,
      headers: {
        host: 'a.example',
        [HEADERS.requestId]: `ordinary-${count}`,
        [HEADERS.deadlineMs]: String(TRY_MS),
        [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
      },
      signal: AbortSignal.timeout(TRY_MS),
    }).catch(() => null);
    const body = await response?.body.text().catch(() => null);
    if (response?.statusCode === 200 && body === 'answer') return true;
    await setTimeout(RETRY_AFTER_MS);
  }
  return false;
};

/** Lists what is wrong with a gateway while such clients send, and after they left. */
const play = async (groups: readonly Group[]): Promise<readonly string[]> => {
  const { gateway, server, stop } = await startLoneGateway({ limits: LIMITS, memoryMb: MEMORY_MB });
  server.addListener(() => {
    const received = server.takeRequest();
    if (received) server.answer(received, 200, 'answer');
  });
  const problems: string[] = [];
  if (!(await isServed(gateway.callerUrl))) problems.push('not served before');
  const clients = startHostileClients(
    gateway.callerUrl,
    groups.map((group) => ({ ...group, maxBodyBytes: LIMITS.max_body_bytes })),
  );
  await clients.waitUntilSent();
  const descriptors = gateway.isRunning() ? await gateway.countDescriptors() : 0;
  clients.stop();
  if (!(await isServed(gateway.callerUrl))) problems.push('not served afterwards');
  if (!gateway.isRunning()) problems.push('the process ended');
  else {
    const peakMb = await gateway.readPeakMb();
    if (peakMb > MEMORY_MB) problems.push(`took ${Math.round(peakMb)} MB`);
  }
  if (descriptors > MAX_DESCRIPTORS) problems.push(`had ${descriptors} descriptors`);
  await stop();
  return problems;
};

const CROWDS: Readonly<Record<string, readonly Group[]>> = {
  'bodies in chunks of 1 byte': [{ form: 'chunks of 1 byte', target: SERVED, clients: 6 }],
  'bodies in chunks of 1 byte at an unknown path': [
    { form: 'chunks of 1 byte', target: UNKNOWN, clients: 6 },
  ],
  'requests ahead at an unknown path': [{ form: 'requests ahead', target: UNKNOWN, clients: 80 }],
  'requests with small bodies ahead at an unknown path': [
    { form: 'requests with small bodies ahead', target: UNKNOWN, clients: 80 },
  ],
  'several forms at once': [
    { form: 'chunks of 1 byte', target: SERVED, clients: 4 },
    { form: 'chunks of 1 byte', target: UNKNOWN, clients: 4 },
    { form: 'requests ahead', target: UNKNOWN, clients: 10 },
    { form: 'requests with small bodies ahead', target: SERVED, clients: 10 },
    { form: 'large chunks', target: SERVED, clients: 20 },
    { form: 'endless trailers', target: SERVED, clients: 4 },
  ],
  'bodies in large chunks': [{ form: 'large chunks', target: SERVED, clients: 60 }],
  'bodies in large chunks at an unknown path': [
    { form: 'large chunks', target: UNKNOWN, clients: 60 },
  ],
  'endless trailers': [{ form: 'endless trailers', target: SERVED, clients: 60 }],
  'endless chunk extensions': [{ form: 'endless chunk extension', target: SERVED, clients: 60 }],
  'endless heads': [{ form: 'endless head', target: SERVED, clients: 60 }],
};

Object.entries(CROWDS).forEach(([name, groups]) => {
  test.serial(`a gateway serves within its memory after ${name}`, async (t) => {
    t.timeout(120_000);
    t.deepEqual(await play(groups), []);
  });
});
