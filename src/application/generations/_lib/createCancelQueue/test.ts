import { setImmediate as waitForLoop } from 'node:timers/promises';
import test from 'ava';
import { err } from 'neverthrow';
import { buildSampleConfiguration } from '../../../../../standins/fakes';
import { BackendHealth } from '../../../../domain/types';
import type { EngineClient, EngineError, HealthRegistry } from '../../../ports';
import { createCancelQueue } from '.';

/** Cancels a stream with the given error, and counts the calls after the server serves again. */
const countCalls = async (error: EngineError): Promise<number> => {
  const [server] = buildSampleConfiguration().backendServers;
  let calls = 0;
  let listener: Parameters<HealthRegistry['addListener']>[0] = () => undefined;
  const queue = createCancelQueue(
    {
      cancelStream: async () => {
        calls += 1;
        return err(error);
      },
    } as unknown as EngineClient,
    {
      addListener: (added: typeof listener) => {
        listener = added;
      },
    } as unknown as HealthRegistry,
  );
  queue.cancel(server!, 'gen_1.1.ab');
  await waitForLoop();
  listener(server!.name, BackendHealth.Serving);
  await waitForLoop();
  return calls;
};

// Guards against streams that go on after a cut link: a cancellation that could not be sent was
// dropped, as if no process ran at the server's address.
test('a cancellation that did not reach the host of an engine is sent again', async (t) => {
  for (const reason of ['EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL', 'EMFILE'])
    t.is(await countCalls({ kind: 'not-started', reason, retryAfterMs: 0 }), 2, reason);
  t.is(await countCalls({ kind: 'broken', reason: 'ECONNRESET' }), 2);
});

test('a cancellation is dropped if no process listens at the address of the engine', async (t) => {
  t.is(await countCalls({ kind: 'not-started', reason: 'ECONNREFUSED', retryAfterMs: 0 }), 1);
});
