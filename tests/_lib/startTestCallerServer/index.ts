import { createCallerApp, startCallerServer } from '../../../src/adapters/http';
import type { CallerDependencies } from '../../../src/adapters/http';
import { createEntryMetrics } from '../../../src/adapters/metrics';
import { createShutdown } from '../../../src/application/shutdown';
import { signCursor, verifyCursor } from '../../../src/domain/cursor';
import { buildTestConfiguration, TEST_KEYS } from '../buildTestConfiguration';
import { createFakeClock, QUIET_LOG } from '../../../standins/fakes';
import { createScriptedGenerations } from '../createScriptedGenerations';

/** Keys with which the test server signs cursors. */
export const TEST_CURSOR_KEYS = ['test-cursor-key-of-32-characters'] as const;

/** Starts the HTTP server for callers on fakes; `change` replaces dependencies. */
export const startTestCallerServer = async (change: Partial<CallerDependencies> = {}) => {
  const clock = createFakeClock();
  const generations = createScriptedGenerations();
  const shutdown = createShutdown({ clock });
  const app = createCallerApp({
    configuration: {
      readCurrent: () => ({
        version: 1,
        configuration: buildTestConfiguration(),
        appliedAtMs: 0,
        appliedBy: 'test',
        comment: '',
      }),
      addListener: () => () => undefined,
    },
    generations,
    cancelGeneration: ({ workspace, generationId }) =>
      generations.cancelGeneration(workspace, generationId),
    services: { callService: () => Promise.reject(new Error('no services in this test')) },
    cursors: {
      sign: (cursor) => signCursor(cursor, [...TEST_CURSOR_KEYS]),
      verify: (text) => verifyCursor(text, TEST_CURSOR_KEYS),
    },
    shutdown,
    metrics: createEntryMetrics(),
    clock,
    randomness: { readFraction: () => 0, readHex: (bytes) => '0'.repeat(2 * bytes) },
    log: QUIET_LOG,
    isCutOff: () => false,
    ...change,
  });
  const server = (await startCallerServer(app, { host: '127.0.0.1', port: 0 }))._unsafeUnwrap();
  const send = (path: string, init: RequestInit = {}): Promise<Response> =>
    fetch(`${server.url}${path}`, {
      ...init,
      headers: { Authorization: `Bearer ${TEST_KEYS.counter}`, ...(init.headers ?? {}) },
    });
  const post = (path: string, body: unknown, headers: Record<string, string> = {}) =>
    send(path, {
      method: 'POST',
      headers,
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
  return { clock, generations, post, send, shutdown, stop: server.stop, url: server.url };
};
