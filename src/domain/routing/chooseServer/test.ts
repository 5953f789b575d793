import test from 'ava';
import { chooseServer } from '.';

const SERVERS = [
  { index: 0, firstTokenMs: 100, load: 0.9 },
  { index: 1, firstTokenMs: 110, load: 0.1 },
  { index: 2, firstTokenMs: 400, load: 0 },
];

test('takes the less loaded of two near-best servers and never one that is clearly worse', (t) => {
  const draws = [0, 0.3, 0.6, 0.99];
  const chosen = draws.flatMap((first) =>
    draws.map((second) => chooseServer(SERVERS, first, second)?.index),
  );
  t.deepEqual([...new Set(chosen)].sort(), [0, 1]);
  t.is(chosen.filter((index) => index === 1).length, 12);
});

test('there is no choice without servers, and one server is the choice', (t) => {
  t.is(chooseServer([], 0.5, 0.5), null);
  t.is(chooseServer(SERVERS.slice(2), 0.99, 0)?.index, 2);
});
