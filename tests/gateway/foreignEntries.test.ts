import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import { decodeServerEntry } from '../../platform';
import { decodeCachedPromptParts } from '../../platform/decodeCachedPromptParts';
import { decodeResponseHead } from '../../platform/decodeResponseHead';
import { decodeServerReport } from '../../platform/decodeServerReport';
import { readKnowledgeMessage } from '../../src/adapters/connect/_lib/convertKnowledge';
import { KnowledgeSchema } from '../../src/adapters/connect/gen/gateway_pb';
import { createServerDirectory } from '../../src/application/forwarding';
import { createFakeClock, STORE } from '../../standins/fakes';

const VALID_ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z1',
  slots: 4,
  state: 'ready',
  warmup_left_ms: 0,
  born: 1000,
};

const REQUIRED_FIELDS = ['service', 'address', 'zone', 'slots', 'state'] as const;

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value) ?? '');

/** A valid entry with one required field missing or of another type. */
const INVALID_ENTRY = fc
  .tuple(fc.constantFrom(...REQUIRED_FIELDS), fc.constantFrom(undefined, null, true, [], {}, -1))
  .map(([field, value]) => encode({ ...VALID_ENTRY, [field]: value }));

const ANY_BYTES = fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes));

const ANY_JSON = fc.jsonValue().map(encode);

const setUp = () => {
  const lines: string[] = [];
  const take = (message: string): void => {
    lines.push(message);
  };
  const directory = createServerDirectory({
    decode: decodeServerEntry,
    clock: createFakeClock(),
    log: { info: take, warn: take, error: take },
    reuseAfterMs: 2000,
    handleGone: () => undefined,
    handleSuspected: () => undefined,
    handleInferred: () => undefined,
  });
  const list = (): string[] => directory.listServing('s').map(({ entry }) => entry.id);
  return { directory, lines, list };
};

test('a malformed entry adds no server and does not affect other servers', (t) => {
  fc.assert(
    fc.property(fc.oneof(INVALID_ENTRY, ANY_BYTES, ANY_JSON), fc.string(), (value, key) => {
      fc.pre(key !== 'i-1' && key !== 'i-2');
      const { directory, lines, list } = setUp();
      const other = { ...VALID_ENTRY, address: '10.0.0.2:80' };
      directory.applyRows(
        [
          { key: 'i-1', value: encode(VALID_ENTRY), version: 1 },
          { key: 'i-2', value: encode(other), version: 2 },
          { key, value, version: 3 },
        ],
        STORE,
      );
      t.deepEqual(list(), ['i-1', 'i-2']);
      t.is(lines.filter((line) => line === 'server entry refused').length, 1);
      directory.applyRows([{ key: 'i-1', value, version: 4 }], STORE);
      t.deepEqual(list(), ['i-2']);
    }),
  );
});

// Guards against a log that one writer fills, as it repeats its entry.
test('a malformed entry is logged once until its reason changes', (t) => {
  const { directory, lines } = setUp();
  const values = ['', '{', { ...VALID_ENTRY, slots: 0 }, '', VALID_ENTRY, ''];
  values.forEach((value, version) =>
    [1, 2].forEach(() =>
      directory.applyRows([{ key: 'i-1', value: encode(value), version }], STORE),
    ),
  );
  t.is(lines.filter((line) => line === 'server entry refused').length, 4);
});

test('a server with an unknown state gets no requests, and a malformed birth time is ignored', (t) => {
  const read = decodeServerEntry('i-1', encode({ ...VALID_ENTRY, state: 'asleep', born: 'noon' }));
  t.true(read._unsafeUnwrap().isLeaving);
  t.is(read._unsafeUnwrap().bornMs, null);
  t.is(decodeServerEntry('i-1', encode(VALID_ENTRY))._unsafeUnwrap().bornMs, 1000);
});

const NO_SIGNALS = { isLeaving: false, limitPerS: null, maxRejectionsPerS: null, load: null };

test('malformed reports, lists and answers are decoded without an exception', (t) => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      const report = decodeServerReport(text, NO_SIGNALS);
      t.true(report === null || (report.waiting >= 0 && report.running >= 0));
      decodeCachedPromptParts(text);
      decodeResponseHead(
        421,
        {
          'jackdawmount-server-load': text,
          'jackdawmount-instance-id': text,
          'server-limit': text,
        },
        'r',
      );
    }),
  );
});

test('a report keeps its valid fields', (t) => {
  const report = decodeServerReport(
    JSON.stringify({ queued: 3, active: 'x', runs: 7, born: -1 }),
    NO_SIGNALS,
  );
  t.like(report, { waiting: 3, running: 0, eventsByRun: null, bornMs: null });
});

// Guards against a report whose reader throws: a nested list or an object stands for an id.
test('a report with odd runs keeps its valid fields and runs', (t) => {
  const nested = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
  const runs = `[[${nested},1,2],["r-1",1,${nested}],[{"toString":1},1,2],["r-2",1,{"valueOf":1}],[],[7,1,3]]`;
  const report = decodeServerReport(`{"queued":3,"active":2,"runs":${runs}}`, NO_SIGNALS);
  t.like(report, { waiting: 3, running: 2 });
  t.deepEqual(
    [...(report?.eventsByRun ?? [])],
    [
      ['r-1', 0],
      ['r-2', 0],
      ['7', 3],
    ],
  );
});

test('any message of another gateway is decoded without an exception', (t) => {
  const valid = toBinary(KnowledgeSchema, create(KnowledgeSchema, { sender: { vm: 'a' } }));
  t.is(readKnowledgeMessage(fromBinary(KnowledgeSchema, valid))?.sender.vm, 'a');
  t.is(readKnowledgeMessage(create(KnowledgeSchema, {})), null);
});
