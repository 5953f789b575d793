import test from 'ava';
import { createPrefixIndex } from '.';

const createIndex = () => {
  let nowMs = 0;
  const clock = {
    readWallMs: () => 0,
    readMonotonicMs: () => nowMs,
    readIdleMs: () => nowMs,
    startTimer: () => () => {},
  };
  return {
    index: createPrefixIndex({ clock }),
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
};
const stored = (sequence: number, ...prefixes: string[]) =>
  ({ sequence, kind: 'stored', prefixes }) as const;

test('finds the longest prefix that each server holds', (t) => {
  const { index } = createIndex();
  index.recordEvents('a', [stored(1, 'p1', 'p2')]);
  index.recordEvents('b', [stored(1, 'p1')]);
  t.deepEqual(
    [...index.findCachedTokens(['p1', 'p2', 'p3'])],
    [
      ['a', 128],
      ['b', 64],
    ],
  );
  t.is(index.findCachedTokens([]).size, 0);
});

test('repeated and reordered events are ignored', (t) => {
  // Guards against routing to a prefix that the engine has evicted: the answer to a poll is lost,
  // the same events come again, and an old `stored` is applied after its `removed`.
  const { index } = createIndex();
  index.recordEvents('a', [{ sequence: 2, kind: 'removed', prefixes: ['p1'] }, stored(1, 'p1')]);
  index.recordEvents('a', [stored(1, 'p1')]);
  t.is(index.findCachedTokens(['p1']).size, 0);
  t.is(index.readSequence('a'), 2);
});

test('a gap in the events lowers the trust in earlier prefixes; a long gap drops them', (t) => {
  const { index } = createIndex();
  index.recordEvents('a', [stored(1, 'p1')]);
  index.recordEvents('a', [stored(5, 'q1')]);
  const doubtful = index.findCachedTokens(['p1']).get('a') ?? 0;
  t.true(doubtful > 0 && doubtful < 64);
  t.is(index.findCachedTokens(['q1']).get('a'), 64);
  index.recordEvents('a', [stored(40, 'r1')]);
  t.is(index.findCachedTokens(['p1']).size, 0);
});

test('a cleared cache, a removed server or a long time without events leaves no prefixes', (t) => {
  const { index, setTime } = createIndex();
  index.recordEvents('a', [stored(1, 'p1'), { sequence: 2, kind: 'cleared', prefixes: [] }]);
  t.is(index.findCachedTokens(['p1']).size, 0);
  index.recordEvents('a', [stored(3, 'p1')]);
  index.removeServer('a');
  t.is(index.findCachedTokens(['p1']).size, 0);
  t.is(index.readSequence('a'), 0);
  index.recordSent('a', ['p1']);
  t.is(index.findCachedTokens(['p1']).get('a'), 64);
  setTime(600_000);
  t.is(index.findCachedTokens(['p1']).size, 0);
});
