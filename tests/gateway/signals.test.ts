import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { startRetryFleet } from './_lib/startRetryFleet';

const WORK_MS = 1500;
const BETWEEN_MS = 300;

// Guards against requests that are cut off by a platform that repeats its signal.
test('a second SIGTERM does not end a process whose requests still run', async (t) => {
  const fleet = await startRetryFleet({
    count: 1,
    target: '/unsafe/x',
    answer: (server, received) => {
      setTimeout(() => server.answer(received, 200, 'done'), WORK_MS);
    },
  });
  t.teardown(fleet.stop);
  const answered = fleet.sendBurst(0, 3);
  await wait(BETWEEN_MS);
  fleet.terminate(0);
  await wait(BETWEEN_MS);
  fleet.terminate(0);
  t.deepEqual(await answered, [200, 200, 200]);
});
