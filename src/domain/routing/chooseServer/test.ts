import test from 'ava';
import { chooseServer } from '.';

const SERVERS = { firstTokenMs: [100, 110, 400], load: [0.9, 0.1, 0] };

test('chooses the less loaded of two near-best servers and never a clearly worse one', (t) => {
  const draws = [0, 0.3, 0.6, 0.99];
  const chosen = draws.flatMap((first) =>
    draws.map((second) => chooseServer(SERVERS, first, second)),
  );
  t.deepEqual([...new Set(chosen)].sort(), [0, 1]);
  t.is(chosen.filter((index) => index === 1).length, 12);
});

test('chooses no server if there are none, and the only one if there is one', (t) => {
  t.is(chooseServer({ firstTokenMs: [], load: [] }, 0.5, 0.5), -1);
  t.is(chooseServer({ firstTokenMs: [400], load: [0] }, 0.99, 0), 0);
});
