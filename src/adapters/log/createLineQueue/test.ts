import test from 'ava';
import { createLineQueue } from '.';

// Guards against a VM whose requests all stall: the reader of standard output stops reading, and
// the process blocks on a write to the full pipe.
test('with a blocked output, lines are queued up to the limit, then dropped and counted', async (t) => {
  const written: string[] = [];
  let release = (): void => undefined;
  const queue = createLineQueue({
    maxCharacters: 10,
    formatDropNotice: (dropped) => `dropped ${dropped}\n`,
    write: (text, done) => {
      written.push(text);
      release = done;
    },
  });
  queue.push('first');
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t.deepEqual(written, ['first\n']);
  ['aaaa', 'bbbb', 'cccc', 'dddd'].forEach(queue.push);
  t.is(queue.countDroppedLines(), 2);
  release();
  t.deepEqual(written, ['first\n', 'aaaa\nbbbb\ndropped 2\n']);
  release();
  await queue.waitUntilEmpty();
  t.is(written.length, 2);
});

test('lines of one event loop turn are written together, in order', async (t) => {
  const written: string[] = [];
  const queue = createLineQueue({
    maxCharacters: 100,
    formatDropNotice: () => '',
    write: (text, done) => {
      written.push(text);
      done();
    },
  });
  ['a', 'b', 'c'].forEach(queue.push);
  await queue.waitUntilEmpty();
  t.deepEqual(written, ['a\nb\nc\n']);
});
