import test from 'ava';
import { createTestDeployment } from '../support/createTestDeployment';
import { createTestEntry } from '../support/createTestEntry';

// Symptom: a review goes on in a place that its workspace may no longer use.
// Sequence: entry-1 dies; a new configuration takes the place away; the caller comes to entry-2 with
// a cursor that names the engine there.
// Cause: the stream named in a cursor was read on without asking where it runs.
test('a stream in a place that is not allowed any more is not read on', async (t) => {
  const { clock, engines, network, first, open, resume } = createTestDeployment();
  const { reader } = await open(first, 3);
  const second = createTestEntry({
    vm: 'entry-2',
    clock,
    engines,
    serverNames: ['engine-1', 'engine-2'],
    peers: network.peers,
    configuration: {
      placementRules: [{ name: 'moved', workspaces: [], services: ['review'], places: ['other'] }],
    },
  });
  network.remove('entry-1');
  const refused = await resume(second, reader);
  t.is(refused._unsafeUnwrapErr().code, 'generation_lost');
  t.deepEqual(engines.resumes, []);
});
