import test from 'ava';
import { buildRequest } from '../support/createTestEntry';
import { createTestDeployment } from '../support/createTestDeployment';

// Guards against text that starts again, or is lost, after the failure of an entry: the running
// generation exists only in the memory of one entry.
test('another entry resumes the stream on the engine', async (t) => {
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

// Guards against minutes of work lost with an availability zone: entry and engine fail together,
// and there is no copy of the tokens outside the zone.
test('if entry and engine fail together, the generation resumes from the prefix of the caller', async (t) => {
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

// Guards against a caller that moved to another entry and gets no more tokens when the first one
// stops responding: a relay cannot resume from the engine without the peer.
test('a relay resumes from the engine when its peer fails', async (t) => {
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

// Guards against an answer with text of two attempts: an entry that seemed dead returns with tokens
// of the first one, and checks only the offset of a cursor, not which attempt it belongs to.
test('tokens of another attempt are never spliced into an answer', async (t) => {
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
