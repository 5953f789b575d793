import test from 'ava';
import { buildRequest } from '../support/createTestEntry';
import { createTestDeployment } from '../support/createTestDeployment';

// Symptom: a caller whose entry died gets its text from the start again, or not at all.
// Sequence: entry-1 dies after 3 tokens; the caller comes to entry-22 with its cursor only.
// Cause: the only copy of a running generation in the memory of one entry.
test('another entry reads the stream of the engine on', async (t) => {
  const { engines, network, first, second, open, resume, readFeed } = createTestDeployment();
  const { stream, reader } = await open(first, 3);
  network.remove('entry-1');
  const resuming = resume(second, reader);
  engines.emit(stream, 2, 'stop');
  const rest = readFeed((await resuming)._unsafeUnwrap());
  await rest.done;
  t.deepEqual([...reader.tokenIds.slice(0, 3), ...rest.tokenIds], stream.tokenIds);
  t.is(engines.starts.length, 1);
});

// Symptom: minutes of work are lost with a zone.
// Sequence: entry-1 and the engine die together; the caller sends request and prefix to entry-22.
// Cause: no copy of the tokens outside of the zone.
test('entry and engine lost together: the prefix of the caller is the copy', async (t) => {
  const { engines, network, first, second, open, resume, readFeed } = createTestDeployment();
  const { reader } = await open(first, 3);
  const prefixTokenIds = [...reader.tokenIds];
  network.remove('entry-1');
  reader.detach();
  engines.kill('engine-1');
  const lost = await resume(second, reader);
  t.is(lost._unsafeUnwrapErr().code, 'generation_lost');
  const altered = await resume(second, reader, {
    request: buildRequest(),
    prefixTokenIds: [...prefixTokenIds.slice(0, 2), 7],
  });
  t.is(altered._unsafeUnwrapErr().code, 'prefix_mismatch');
  const rerun = await resume(second, reader, {
    request: buildRequest({ idempotent: false }),
    prefixTokenIds,
  });
  t.is(rerun._unsafeUnwrapErr().code, 'prefix_mismatch');
  const resuming = resume(second, reader, { request: buildRequest(), prefixTokenIds });
  await engines.waitForStarts(2);
  const next = engines.starts[1]!;
  engines.emit(next, 2, 'stop');
  const rest = readFeed((await resuming)._unsafeUnwrap());
  await rest.done;
  t.deepEqual([...prefixTokenIds, ...rest.tokenIds], next.tokenIds);
});

// Symptom: a caller that was moved to another entry stops when the first entry dies later.
// Sequence: entry-22 relays from entry-1, which then stands still; the engine goes on.
// Cause: a relay that has no way to go on without the peer.
test('a relay goes on without the peer', async (t) => {
  const { clock, engines, network, first, second, open, resume, readFeed } = createTestDeployment();
  const { stream, reader } = await open(first, 3);
  const relay = readFeed((await resume(second, reader))._unsafeUnwrap());
  engines.emit(stream, 1);
  await relay.waitForTokens(1);
  t.is(engines.resumes.length, 0);
  network.remove('entry-1');
  first.generations.stop();
  await first.generations.cancelGeneration('alpha', reader.cursors[0]!.generationId);
  await clock.advanceAsync(0);
  t.deepEqual(await relay.done, 'cancelled');
  const { stream: other, reader: caller } = await open(first, 2);
  network.add('entry-1', first.generations);
  const moved = readFeed((await resume(second, caller))._unsafeUnwrap());
  engines.emit(other, 1);
  await moved.waitForTokens(1);
  network.remove('entry-1');
  const [reading] = [...other.readers];
  other.readers.clear();
  await clock.advanceAsync(2_000);
  t.true(engines.resumes.includes('engine-1 3'));
  engines.emit(other, 2, 'stop');
  t.deepEqual(
    [...caller.tokenIds.slice(0, 2), ...((await moved.done) as number[])],
    other.tokenIds,
  );
  reading?.end();
});

// Symptom: text of two runs in one answer.
// Sequence: entry-22 goes on from token 3 on another engine, as entry-1 seems dead; entry-1 wakes
//   with 5 tokens of the first run; the caller comes back to it with the cursor of the second.
// Cause: a copy that is taken for the right one by its offset.
test('a copy of another run is never spliced in', async (t) => {
  const { engines, network, first, second, open, resume, readFeed } = createTestDeployment();
  const { stream, reader } = await open(first, 3);
  const prefixTokenIds = [...reader.tokenIds];
  const cursor = reader.cursors.at(-1)!;
  network.remove('entry-1');
  const moved = { ...cursor, backendServer: 'engine-9', streamId: 'gone' };
  const resuming = resume(second, reader, {
    cursor: moved,
    request: buildRequest(),
    prefixTokenIds,
  });
  await engines.waitForStarts(2);
  const run = engines.starts[1]!;
  engines.emit(run, 1);
  const rest = readFeed((await resuming)._unsafeUnwrap());
  await rest.waitForTokens(1);
  engines.emit(stream, 2);
  await reader.waitForTokens(5);
  const back = readFeed((await resume(first, rest))._unsafeUnwrap());
  engines.emit(run, 2, 'stop');
  await back.done;
  t.deepEqual([...prefixTokenIds, ...rest.tokenIds.slice(0, 1), ...back.tokenIds], run.tokenIds);
});
