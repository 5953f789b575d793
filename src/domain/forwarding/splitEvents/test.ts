import test from 'ava';
import fc from 'fast-check';
import { splitEvents } from '.';

const EVENTS = [
  'id: 1\ndata: a\n\n',
  'id: 2\r\ndata: b\r\n\r\n',
  ': note\n\n',
  'data: x\nid: 30\n\n',
];

test('complete events are returned with their ids, and the rest separately', (t) => {
  const { events, rest } = splitEvents(Buffer.from(`${EVENTS.join('')}id: 31\ndata: ha`));
  t.deepEqual(
    events.map(({ id }) => id),
    [1, 2, null, 30],
  );
  t.is(events.map(({ bytes }) => bytes.toString()).join(''), EVENTS.join(''));
  t.is(rest.toString(), 'id: 31\ndata: ha');
});

test('bytes split at any position give the same events', (t) => {
  const bytes = Buffer.from(EVENTS.join(''));
  fc.assert(
    fc.property(fc.nat(bytes.length), (cut) => {
      const first = splitEvents(bytes.subarray(0, cut));
      const second = splitEvents(Buffer.concat([first.rest, bytes.subarray(cut)]));
      const ids = [...first.events, ...second.events].map(({ id }) => id);
      t.deepEqual(ids, [1, 2, null, 30]);
      t.is(second.rest.length, 0);
    }),
  );
});
