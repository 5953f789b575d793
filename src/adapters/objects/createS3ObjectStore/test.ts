import test from 'ava';
import { createS3ObjectStore } from '..';
import { createStandInObjects } from '../../../../standins/objects';
import { createPlatformDispatcher } from '../../platform-http';
import { createSystemClock } from '../../system';

test('an object is written once and read back, and a lost answer is ambiguous', async (t) => {
  const objects = await createStandInObjects();
  t.teardown(objects.close);
  const connect = () => {
    const dispatcher = createPlatformDispatcher();
    t.teardown(() => dispatcher.destroy());
    return createS3ObjectStore(
      {
        endpoint: objects.url,
        bucket: 'jackdaw',
        accessKeyId: 'key',
        secretAccessKey: 'secret',
        region: 'local',
        deadlineMs: 20_000,
      },
      { clock: createSystemClock(), dispatcher },
    );
  };
  const store = connect();
  const content = new TextEncoder().encode('answer');
  const key = 'answers/sello/a b+ñ';
  const onlyIfAbsent = { onlyIfAbsent: true };
  t.is((await store.readObject(key))._unsafeUnwrap(), null);
  await objects.setFaults({ loseAnswers: 1 });
  t.is((await store.writeObject(key, content, onlyIfAbsent))._unsafeUnwrapErr().kind, 'ambiguous');
  t.is(
    (await store.writeObject(key, content, onlyIfAbsent))._unsafeUnwrapErr().kind,
    'condition-failed',
  );
  t.true((await store.writeObject(key, content, { onlyIfAbsent: false })).isOk());
  t.deepEqual((await store.readObject(key))._unsafeUnwrap(), content);
  // Only a new connection is refused; on a keep-alive one that was just closed, a write may have
  // been sent.
  await objects.setFaults({ outage: 'refuse' });
  const refused = await connect().writeObject(key, content, onlyIfAbsent);
  t.is(refused._unsafeUnwrapErr().kind, 'unavailable');
});
