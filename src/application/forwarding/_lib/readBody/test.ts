import test from 'ava';
import { readBody } from '.';

const MB = 1024 * 1024;

async function* streamChunks(count: number, failure?: Error): AsyncGenerator<Buffer> {
  for (let sent = 0; sent < count; sent += 1) yield Buffer.alloc(MB);
  if (failure) throw failure;
}

// Guards against an answer without end, and against taking a read that this process gave up for a
// crash of the server.
test('an answer is read up to 8 MiB and as far as there is room', async (t) => {
  const takeAll = () => true;
  t.is((await readBody(streamChunks(8), takeAll))._unsafeUnwrap().length, 8 * MB);
  const endless = (await readBody(streamChunks(Infinity), takeAll))._unsafeUnwrapErr();
  t.is(endless.error, null);
  let leftBytes = 2 * MB;
  const takeTwo = (bytes: number): boolean => {
    leftBytes -= bytes;
    return leftBytes >= 0;
  };
  t.is((await readBody(streamChunks(8), takeTwo))._unsafeUnwrapErr().error, null);
  const error = new Error('reset');
  const broken = (await readBody(streamChunks(1, error), takeAll))._unsafeUnwrapErr();
  t.deepEqual(broken, { reason: 'reset', error });
});
