import test from 'ava';
import fc from 'fast-check';
import { createClaims } from '..';
import {
  createFakeClock,
  createMemoryObjectStore,
  createMemoryTableStore,
  createScheduledTableStore,
  createSeededRandomness,
  type WriteFate,
} from '../../../../standins/fakes';
import type { ClaimRow } from '../../../domain/types';
import type { TableStore } from '../../ports';
import { createResilientTableStore, TABLE_POLICY } from '../../store';

const REQUEST = {
  workspace: 'sello',
  keyDigest: 'key',
  generationId: 'gen_1',
  requestDigest: 'digest',
  idempotent: true,
};

const ANSWER = {
  generationId: 'gen_1',
  requestDigest: 'digest',
  tokenIds: [7, 8],
  texts: ['review'],
  tokenCounts: [2],
  finishReason: 'stop',
};

function startPlatform() {
  const clock = createFakeClock();
  const table = createMemoryTableStore();
  const objects = createMemoryObjectStore();
  const buildVm = (vm: string, seed: number, tableStore: TableStore = table) =>
    createClaims({
      tableStore,
      objectStore: objects,
      clock,
      randomness: createSeededRandomness(seed),
      vm,
      peerAddress: `${vm}:1`,
      readAnswerTtlMs: () => 1000,
    });
  return { clock, table, objects, buildVm };
}

async function acquire(claims: ReturnType<typeof createClaims>): Promise<ClaimRow> {
  const outcome = (await claims.acquireClaim(REQUEST))._unsafeUnwrap();
  if (outcome.kind !== 'granted') throw new Error('the claim was taken');
  return outcome.row;
}

test('a claim whose response is lost is granted, and is taken for the next claimant', async (t) => {
  // Guards against a refused caller whose key stays blocked: the row is written, the response is
  // lost, and the loss is treated as a failure or as a claim of another VM.
  const { table, buildVm } = startPlatform();
  table.loseNextAnswers(1);
  const row = await acquire(buildVm('entry-1', 1));
  t.is(row.vm, 'entry-1');
  const second = (await buildVm('entry-2', 2).acquireClaim(REQUEST))._unsafeUnwrap();
  t.deepEqual(second, { kind: 'taken', row });
  // A lost request looks the same to the client, so the write is sent again.
  table.dropNextWrites(1);
  t.true((await buildVm('entry-1', 3).acquireClaim({ ...REQUEST, keyDigest: 'k2' })).isOk());
});

test('exactly one of two claimants is granted, in any order and with any loss', async (t) => {
  // Guards against two generations under one key: two VMs claim the key at once, writes and
  // responses are lost or late, and the lost response is resolved in favour of both.
  const fate = fc.constantFrom<WriteFate>('none', 'answer', 'late');
  const property = fc.asyncProperty(
    fc.scheduler(),
    fc.array(fate, { minLength: 6, maxLength: 6 }),
    async (scheduler, fates) => {
      const { table, buildVm } = startPlatform();
      const scheduled = createScheduledTableStore(table, scheduler, fates);
      const claims = [1, 2].map((n) => buildVm(`entry-${n}`, n, scheduled).acquireClaim(REQUEST));
      const outcomes = await scheduler.waitFor(Promise.all(claims));
      const kinds = outcomes.map((outcome) => outcome._unsafeUnwrap().kind).sort();
      t.deepEqual(kinds, ['granted', 'taken']);
    },
  );
  await fc.assert(property, { seed: 5, numRuns: 1000 });
});

test('a paused claimant cannot change a claim that another VM took over', async (t) => {
  // Guards against a stale answer that replaces the right one: the holder is paused, another VM
  // takes over and finishes, then the holder continues and writes its own answer.
  const { table, buildVm } = startPlatform();
  const [first, second] = [buildVm('entry-1', 1), buildVm('entry-2', 2)];
  const paused = await acquire(first);
  table.loseNextAnswers(1);
  const taken = (await second.takeOverClaim(paused))._unsafeUnwrap();
  const late = await buildVm('entry-3', 3).takeOverClaim(paused);
  t.deepEqual(late._unsafeUnwrapErr(), { kind: 'lost', row: taken });
  const finished = (await second.writeAnswer(taken, ANSWER))._unsafeUnwrap();
  const wrong = await first.writeAnswer(paused, { ...ANSWER, texts: ['other'] });
  t.deepEqual(wrong._unsafeUnwrapErr(), { kind: 'lost', row: finished });
  const replayed = (await first.readClaim('sello', 'key'))._unsafeUnwrap();
  t.is(replayed?.state, 'finished');
  t.deepEqual((await first.readAnswer(finished))._unsafeUnwrap(), ANSWER);
});

test('a new claim of a key does not reuse the revision of a paused claimant', async (t) => {
  // The holder is paused, the platform removes the row, and another VM claims the key again.
  const { table, buildVm } = startPlatform();
  const first = buildVm('entry-1', 1);
  const paused = await acquire(first);
  await table.removeItem('claim#sello', 'key', { kind: 'any' });
  const anew = await acquire(buildVm('entry-2', 2));
  const late = await first.updateClaim(paused, { attempt: 1 });
  t.deepEqual(late._unsafeUnwrapErr(), { kind: 'lost', row: anew });
});

test('concurrent updates share a write, and a lost response is recovered from', async (t) => {
  const { table, buildVm } = startPlatform();
  const claims = buildVm('entry-1', 1);
  const row = await acquire(claims);
  table.resetCounts();
  table.loseNextAnswers(1);
  const changes = Array.from({ length: 10 }, (_, n) => claims.updateClaim(row, { attempt: n + 1 }));
  const rows = (await Promise.all(changes)).map((result) => result._unsafeUnwrap());
  t.is(rows.at(-1)?.attempt, 10);
  t.is(table.countWrites(), 2);
});

/** Claims a key: the response to the write is lost, the table goes down, and the claim fails. */
async function claimIntoOutage(idempotent: boolean) {
  const { clock, table, buildVm } = startPlatform();
  const guarded = createResilientTableStore(table, TABLE_POLICY, {
    clock,
    randomness: createSeededRandomness(9),
  });
  const claims = buildVm('entry-1', 1, guarded);
  table.hangNextAnswers(1);
  const first = claims.acquireClaim({ ...REQUEST, idempotent });
  await new Promise(setImmediate);
  table.setOutage('hang');
  const startMs = clock.readMonotonicMs();
  const ended = first.then(() => clock.readMonotonicMs() - startMs);
  await clock.advanceAsync(5000);
  table.setOutage('none');
  return { claims, outcome: await first, waitedMs: await ended };
}

test('a claim fails within its deadline in an outage, and its late row is removed', async (t) => {
  // Guards against a key that stays blocked after an outage although its caller was told
  // `not-run`: the row is written, the response is lost, and the table goes down before the read
  // back.
  const { claims, outcome, waitedMs } = await claimIntoOutage(false);
  t.is(outcome._unsafeUnwrapErr().kind, 'store-unavailable');
  t.true(waitedMs <= 1000, `${waitedMs} ms`);
  // Any later claim of this VM removes the row.
  t.true((await claims.acquireClaim({ ...REQUEST, keyDigest: 'other' })).isOk());
  await new Promise(setImmediate);
  t.is((await claims.readClaim('sello', 'key'))._unsafeUnwrap(), null);
});

test('the late row of an idempotent generation, which runs without its claim, stays', async (t) => {
  // Guards against a second generation for a repeat of the key at another VM: as above, but the
  // generation is idempotent and runs anyway, and its row, which would lead the repeat to it, is
  // removed.
  const { claims, outcome } = await claimIntoOutage(true);
  t.is(outcome._unsafeUnwrapErr().kind, 'store-unavailable');
  t.true((await claims.acquireClaim({ ...REQUEST, keyDigest: 'other' })).isOk());
  await new Promise(setImmediate);
  t.is((await claims.readClaim('sello', 'key'))._unsafeUnwrap()?.vm, 'entry-1');
});

test('a claim can be replaced after its answer has expired, but never while it runs', async (t) => {
  const { clock, buildVm } = startPlatform();
  const claims = buildVm('entry-1', 1);
  const row = await acquire(claims);
  clock.advance(10 * 86_400_000);
  t.is((await claims.acquireClaim(REQUEST))._unsafeUnwrap().kind, 'taken');
  await claims.writeAnswer(row, ANSWER);
  t.is((await claims.acquireClaim(REQUEST))._unsafeUnwrap().kind, 'taken');
  clock.advance(400_000);
  t.is((await claims.acquireClaim(REQUEST))._unsafeUnwrap().kind, 'granted');
});
