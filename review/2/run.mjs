// A few answers of one server have a damaged status line. Each one stops the gateway's whole process for
// seconds: nothing is answered meanwhile, whichever server it is for.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createClient } from '../standins/client.mjs';
import { drawGateway, startGateway, wait } from '../standins/gateway.mjs';
import { runCase } from '../standins/record.mjs';
import { buildConfiguration, startServer } from '../standins/server.mjs';
import { startStore } from '../standins/store.mjs';

/** Largest doses of `garble` in the site file: share of servers and of answers, and the time. */
const SHARE = 0.35;
const RATE = 0.02;
const TROUBLE_MS = 5500;

const SERVERS = 3;
const CLIENTS = 20;
const WORK_MS = 20;
const PAUSE_MS = 60;
const DURATION_MS = 14_000;
const TROUBLE_AT_MS = 4000;
const ROUTE_TIMEOUT_MS = 800;
const DEADLINE_MS = 5000;
/** Time after the route's timeout within which the rule wants an answer. */
const SLACK_MS = 500;

runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, temporary, parts, hasTrouble }) => {
    const store = await startStore();
    parts.push(store);
    let isFaulty = false;
    const startOne = (index) =>
      startServer({
        id: `i-${index}`,
        record,
        slots: 16,
        handle: async ({ socket }, _response, { id }) => {
          await wait(WORK_MS);
          const isDamaged = isFaulty && index < Math.floor(SERVERS * SHARE) && Math.random() < RATE;
          if (isDamaged) record.add('damaged answer', { server: `i-${index}`, id });
          // "200" with its first digit damaged: bytes that are not a response.
          socket.write(
            `HTTP/1.1 ${isDamaged ? '000' : '200'} OK\r\nContent-Length: 5\r\n` +
              `Jackdawmount-Attempt-Id: ${id}\r\nJackdawmount-Server-Stamp: stamp.${id}\r\n\r\nhello`,
          );
        },
      });
    const servers = await Promise.all(
      Array.from({ length: SERVERS }, (_, index) => startOne(index)),
    );
    parts.push(...servers);
    const configuration = buildConfiguration();
    configuration.routes
      .filter(({ name }) => name === 'unsafe')
      .forEach((route) => Object.assign(route, { timeout_ms: ROUTE_TIMEOUT_MS }));
    store.write('op', 'config', configuration);
    servers.forEach((server) => store.write('servers', server.id, server.buildEntry()));
    const gateway = startGateway(await drawGateway('edge-1'), {
      folder: temporary,
      store: store.address,
    });
    parts.push(gateway);
    if (!(await gateway.waitUntilReady()))
      return { couldNotRun: `not ready: ${gateway.readLog()}` };
    await wait(3500);
    const endMs = performance.now() + DURATION_MS;
    const tookMs = [];
    const play = async () => {
      const client = createClient(gateway, record);
      parts.push(client);
      while (performance.now() < endMs) {
        const sentAtMs = performance.now();
        const { id, reason, status } = await client.send({
          path: '/unsafe/1',
          deadlineMs: DEADLINE_MS,
        });
        tookMs.push({ id, ms: Math.round(performance.now() - sentAtMs), status, reason });
        await wait(PAUSE_MS);
      }
    };
    /** The platform's question, once a second; an answer that takes over a second is a miss. */
    const misses = [];
    const ask = async () => {
      while (performance.now() < endMs) {
        const askedAtMs = performance.now();
        if (!(await gateway.isReady())) misses.push(Math.round(askedAtMs));
        await wait(Math.max(0, askedAtMs + 1000 - performance.now()));
      }
    };
    const clients = [...Array.from({ length: CLIENTS }, play), ask()];
    await wait(TROUBLE_AT_MS);
    isFaulty = hasTrouble;
    await wait(TROUBLE_MS);
    isFaulty = false;
    await Promise.all(clients);
    const atTimeout = tookMs.filter(({ ms }) => ms > ROUTE_TIMEOUT_MS);
    const later = atTimeout.filter(({ ms }) => ms > ROUTE_TIMEOUT_MS + SLACK_MS);
    return {
      // The rule: more than half; at least eight, as in its other sentence, so that one stray request
      // on a busy machine breaks nothing.
      isBroken: later.length >= 8 && later.length > atTimeout.length / 2,
      requests: tookMs.length,
      damagedAnswers: record.list('damaged answer').length,
      unansweredAtTimeout: atTimeout.length,
      unansweredHalfASecondLater: later.length,
      neverAnswered: tookMs.filter(({ status }) => status === 0).length,
      longestMs: Math.max(...tookMs.map(({ ms }) => ms)),
      missedReadinessQuestions: misses.length,
    };
  },
);
