import test from 'ava';
import { createTestDeployment } from '../support/createTestDeployment';
import { createTestEntry } from '../support/createTestEntry';

// Guards against a review that continues in a place that its workspace may no longer use: the
// stream named in a cursor was resumed without a check of its place.
test('a stream in a place that is no longer allowed is not resumed', async (t) => {
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
