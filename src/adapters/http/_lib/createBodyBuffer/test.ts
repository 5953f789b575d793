import test from 'ava';
import { createBodyBuffer } from '.';

const MAX_BYTES = 100_000;

const buildFixture = ({ expectedBytes = 0, roomBytes = Infinity } = {}) => {
  let acquired = 0;
  const buffer = createBodyBuffer({
    expectedBytes,
    maxBytes: MAX_BYTES,
    acquireBytes: (bytes) => {
      if (acquired + bytes > roomBytes) return false;
      acquired += bytes;
      return true;
    },
  });
  return { buffer, countAcquired: () => acquired };
};

test('a body of one piece is that piece', (t) => {
  const { buffer, countAcquired } = buildFixture();
  const piece = Buffer.from('piece');
  t.true(buffer.addPart(piece));
  t.is(buffer.read().buffer, piece.buffer);
  t.is(buffer.read().toString(), 'piece');
  t.is(countAcquired(), piece.length);
});

test('pieces of all sizes are joined in order', (t) => {
  const { buffer } = buildFixture();
  const pieces = [1, 5000, 0, 1, 20_000, 3].map((bytes, index) => Buffer.alloc(bytes, index));
  pieces.forEach((piece) => t.true(buffer.addPart(piece)));
  t.deepEqual(buffer.read(), Buffer.concat(pieces));
});

test('an empty body has no bytes', (t) => {
  t.is(buildFixture().buffer.read().length, 0);
});

test('an expected length is counted by whoever expects it', (t) => {
  const { buffer, countAcquired } = buildFixture({ expectedBytes: 9000 });
  Array.from({ length: 9 }, () => t.true(buffer.addPart(Buffer.alloc(1000))));
  t.is(countAcquired(), 0);
  t.is(buffer.read().buffer.byteLength, 9000);
});

// Guards against bodies in very small pieces that are counted by their bytes and held as objects.
test('what is counted is what is held', (t) => {
  const { buffer, countAcquired } = buildFixture();
  for (let count = 1; count <= MAX_BYTES; count += 1) {
    t.true(buffer.addPart(Buffer.from('x')));
    if (count % 1000 === 0) t.is(countAcquired(), buffer.read().buffer.byteLength);
  }
  t.is(countAcquired(), MAX_BYTES);
});

test('a piece without room is refused', (t) => {
  const { buffer } = buildFixture({ roomBytes: 5000 });
  t.true(buffer.addPart(Buffer.alloc(4000)));
  t.true(buffer.addPart(Buffer.alloc(0)));
  t.false(buffer.addPart(Buffer.alloc(1000)));
  t.is(buffer.read().length, 4000);
});
