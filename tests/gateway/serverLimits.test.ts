// Guards against routing that is not told, or does not heed, how many requests a server takes.
import test from 'ava';
import { HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { callServer } from './_lib/callServer';
import { startTestGateway } from './_lib/startTestGateway';

const nameLimit = (limit: string) => ({ [HEADERS.limit]: limit });

test('the log says which limit an answer named, and when one named none any more', async (t) => {
  const bench = await startTestGateway({ clock: createFakeClock(), serverIds: ['i-1'] });
  await callServer(bench, { id: 'first', headers: nameLimit('3.7') });
  await callServer(bench, { id: 'same', headers: nameLimit('3.7') });
  await callServer(bench, { id: 'none' });
  const named = bench.lines.filter(({ message }) => message === 'server limit');
  t.deepEqual(
    named.map(({ before, limitPerS, server }) => ({ before, limitPerS, server })),
    [
      { before: 'none', limitPerS: 3.7, server: 'i-1' },
      { before: 3.7, limitPerS: 'none', server: 'i-1' },
    ],
  );
  await bench.stop();
});
