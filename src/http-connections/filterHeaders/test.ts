import test from 'ava';
import { filterHeaders } from '.';

test('headers with the names are left out, however they are spelled', (t) => {
  const headers = ['Host', 'x-y', 'X-Y', 'host', 'x-y', 'b'];
  t.deepEqual(filterHeaders(headers, new Set(['x-y'])), ['Host', 'x-y']);
  t.deepEqual(filterHeaders(headers, new Set()), headers);
  t.deepEqual(filterHeaders([], new Set(['x-y'])), []);
});
