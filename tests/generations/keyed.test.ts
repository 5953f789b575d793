import test from 'ava';
import { buildRequest } from '../support/createTestEntry';
import { createTestDeployment } from '../support/createTestDeployment';

const KEYED = { idempotencyKey: 'key' };

// Guards against two generations, and two letters, for one idempotency key that reaches two entries
// at once: the claim is not written atomically, or callers cannot attach to its holder yet.
test('simultaneous POSTs with one idempotency key give one generation', async (t) => {
  const { engines, first, second, readFeed, signal } = createTestDeployment();
  const openings = [first, second, first].map(({ generations }) =>
    generations.startGeneration(buildRequest(KEYED), signal),
  );
  await engines.waitForStarts(1);
  const [stream] = engines.starts;
  engines.emit(stream!, 3, 'stop');
  const answers = await Promise.all(
    openings.map(async (opening) => readFeed((await opening)._unsafeUnwrap()).done),
  );
  answers.forEach((answer) => t.deepEqual(answer, stream!.tokenIds));
  t.is(engines.starts.length, 1);
});

// Guards against a repeated request that is generated again, or another body that gets its answer:
// keys are kept only in the memory of one entry.
test('a stored answer is replayed, and a different request with its key is refused', async (t) => {
  const { clock, engines, first, second, open, readFeed, signal } = createTestDeployment();
  const { stream, reader } = await open(first, 2, KEYED);
  engines.emit(stream, 1, 'stop');
  await reader.done;
  await clock.advanceAsync(0);
  const repeat = await second.generations.startGeneration(buildRequest(KEYED), signal);
  t.deepEqual(await readFeed(repeat._unsafeUnwrap()).done, stream.tokenIds);
  const other = buildRequest({ ...KEYED, digest: 'd2' });
  const refusals = await Promise.all(
    [first, second].map(({ generations }) => generations.startGeneration(other, signal)),
  );
  refusals.forEach((refusal) => t.is(refusal._unsafeUnwrapErr().status, 422));
  t.is(engines.starts.length, 1);
});

// Guards against an answer that is not found by the repeat of its request: the store is down, and a
// drain ends with the last token while the answer is still being written.
test('a drain waits until answers are stored, but not past its timeout', async (t) => {
  const { clock, engines, first, second, tableStore, open, readFeed, signal } =
    createTestDeployment();
  const { stream, reader } = await open(first, 2, KEYED);
  await clock.advanceAsync(0);
  tableStore.setOutage('unavailable');
  engines.emit(stream, 1, 'stop');
  await reader.done;
  await clock.advanceAsync(0);
  const bounded = first.generations.waitForPendingWrites(1);
  await clock.advanceAsync(1);
  await bounded;
  let isOver = false;
  const ended = first.generations.waitForPendingWrites(60_000).then(() => {
    isOver = true;
  });
  await clock.advanceAsync(10);
  t.false(isOver);
  tableStore.setOutage('none');
  await clock.advanceAsync(59_000);
  await ended;
  const repeat = await second.generations.startGeneration(buildRequest(KEYED), signal);
  t.deepEqual(await readFeed(repeat._unsafeUnwrap()).done, stream.tokenIds);
  t.is(engines.starts.length, 1);
});

// Guards against a paused entry that continues work which another one took over, and overwrites its
// claim: it does not check whether it still holds the claim.
test('an entry that lost its claim starts no further attempt', async (t) => {
  const { clock, engines, network, first, second, open, readFeed, signal } = createTestDeployment();
  const { stream, reader } = await open(first, 2, KEYED);
  await clock.advanceAsync(0);
  network.remove('entry-1');
  const repeat = second.generations.startGeneration(buildRequest(KEYED), signal);
  const taken = readFeed((await repeat)._unsafeUnwrap());
  await taken.waitForTokens(2);
  t.is(engines.starts.length, 1);
  engines.kill('engine-1');
  await engines.waitForStarts(3);
  await clock.advanceAsync(0);
  t.is(await reader.done, 'generation_moved');
  const own = engines.starts.filter(({ readers }) => readers.size > 0);
  t.is(own.length, 1);
  engines.emit(own[0]!, 1, 'stop');
  t.deepEqual(await taken.done, own[0]!.tokenIds);
  t.deepEqual(own[0]!.tokenIds.slice(0, 2), stream.tokenIds);
});

// Guards against billable work that runs twice, or is called "not run" although it ran: work that
// may have started is retried, also while the store is down.
test('non-idempotent work is sent once, and errors report the known run state', async (t) => {
  const { engines, first, second, open, signal, tableStore } = createTestDeployment();
  const once = { idempotent: false, idempotencyKey: 'once' };
  const { reader } = await open(first, 2, once);
  engines.kill('engine-1');
  t.is(await reader.done, 'generation_lost');
  const again = await second.generations.startGeneration(buildRequest(once), signal);
  t.is(again._unsafeUnwrapErr().runState, 'unknown');
  tableStore.setOutage('unavailable');
  const down = await first.generations.startGeneration(
    buildRequest({ ...once, idempotencyKey: 'other' }),
    signal,
  );
  t.is(down._unsafeUnwrapErr().runState, 'not-run');
  t.is(down._unsafeUnwrapErr().status, 503);
  t.is(engines.starts.length, 1);
});
