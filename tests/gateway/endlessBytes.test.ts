// Guards against servers whose bytes are no answer and never end: a gateway that reads them without a
// bound fills its memory and its link, and its callers wait for nothing.
import test from 'ava';
import { createSystemClock } from '../../src/adapters/system';
import { createStandInServer, type StandInServer } from '../../standins/gateway';
import { POURED_FORMS, startPouringServer } from './_lib/startPouringServer';
import { startTestGateway } from './_lib/startTestGateway';

const DEADLINE_MS = 4000;

/** An answer may come this much after the deadline. */
const SLACK_MS = 500;

const MIB = 1024 * 1024;

/** Bytes of one connection that the buffers of both hosts hold. */
const BUFFERED_BYTES = 11 * MIB;

/** Bytes that the gateway may read: without an event, and of the answer to a call. */
const MAX_READ_BYTES = { stream: MIB, call: 8 * MIB };

/** Requests sent until the pouring server gets one. */
const MAX_TRIES = 20;

const EVENTS = 5;

const SPEEDS = ['fast', 'slow'] as const;

type Form = (typeof POURED_FORMS)[number];

/** A call has an answer once its body ends: these forms are such answers, or bodies too long. */
const STREAM_ONLY: ReadonlySet<Form> = new Set([
  'comments',
  'empty lines',
  'event without an end',
  'comments after an event',
]);

const answerAll = (server: StandInServer): void =>
  server.addListener(() => {
    const request = server.takeRequest();
    if (!request) return;
    if (request.target.startsWith('/stream/')) {
      const first = Number(request.headers['last-event-id'] ?? 0) + 1;
      server.startStream(request);
      server.sendEvents(request, first, EVENTS);
      request.response.end();
    } else server.answer(request, 200, 'answer');
  });

/** Sends requests until the pouring server gets one; returns what is wrong with its answer. */
const play = async (
  form: Form,
  speed: (typeof SPEEDS)[number],
  target: string,
): Promise<string | null> => {
  const pouring = await startPouringServer(form, speed);
  const sound = await Promise.all(['i-2', 'i-3'].map((id) => createStandInServer(id)));
  sound.forEach(answerAll);
  const first = {
    id: 'i-1',
    address: pouring.address,
    stop: async () => undefined,
  };
  // Real time, in which callers wait: a clock that stands still with this process would hide that the
  // gateway is busy with what is poured.
  const { send, stop } = await startTestGateway({
    servers: [first, ...sound],
    clock: createSystemClock(),
  });
  let problem: string | null = null;
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const sentAtMs = performance.now();
    const { body, isWhole, status } = await send({ target, id: `r-${tries}` });
    const tookMs = Math.round(performance.now() - sentAtMs);
    const events = body.split('\n').filter((line) => line.startsWith('id: ')).length;
    const isServed = status === 200 && isWhole && (events === EVENTS || body === 'answer');
    const mayFail = target.startsWith('/unsafe/') && status >= 500;
    if (tookMs > DEADLINE_MS + SLACK_MS) problem = `held for ${tookMs} ms`;
    else if (!isServed && !mayFail)
      problem = `${status}, ${events} events, whole ${isWhole}, after ${tookMs} ms`;
    else problem = null;
    if (problem !== null || pouring.listPaths().includes(target)) break;
  }
  if (!pouring.listPaths().includes(target)) problem = 'the pouring server got no request';
  await stop();
  const most = Math.max(0, ...pouring.listPouredBytes());
  await pouring.stop();
  const maxBytes = MAX_READ_BYTES[target.startsWith('/stream/') ? 'stream' : 'call'];
  if (most > maxBytes + BUFFERED_BYTES) problem = `${problem ?? 'served'}, read ${most} bytes`;
  return problem === null ? null : `${form}, ${speed}: ${problem}`;
};

const playAll = async (target: string, forms: readonly Form[]): Promise<readonly string[]> => {
  const found: string[] = [];
  // Few fast ones at a time: they share a processor with the gateways.
  for (const form of forms) {
    const problems = await Promise.all(SPEEDS.map((speed) => play(form, speed, target)));
    found.push(...problems.filter((problem) => problem !== null));
  }
  return found;
};

test.serial(
  'a stream goes on elsewhere if its server pours bytes that are no answer',
  async (t) => {
    t.timeout(240_000);
    t.deepEqual(await playAll('/stream/x', POURED_FORMS), []);
  },
);

test.serial(
  'a call ends in time if its server pours, and elsewhere if it may be repeated',
  async (t) => {
    t.timeout(300_000);
    const forms = POURED_FORMS.filter((form) => !STREAM_ONLY.has(form));
    t.deepEqual([...(await playAll('/safe/x', forms)), ...(await playAll('/unsafe/x', forms))], []);
  },
);
