import test from 'ava';
import { buildLoadPart } from '../../../../standins/fakes';
import type { LoadPart } from '../types';
import { mergeLoadPart } from '.';

const HELD = new Map([['vm-1', { part: buildLoadPart({}, { sequence: 5 }), receivedAtMs: 0 }]]);
const isTaken = (change: Partial<LoadPart>): boolean =>
  mergeLoadPart(HELD, buildLoadPart({}, change), 100).get('vm-1')?.receivedAtMs === 100;

// Guards against parts that count for longer than they are true, or that replace newer ones.
test('a part replaces older ones of its VM; one that is doubled, late or of an ended process is ignored', (t) => {
  t.true(isTaken({ sequence: 6 }));
  t.true(isTaken({ incarnation: 2, sequence: 1 }));
  t.false(isTaken({ sequence: 5 }));
  t.false(isTaken({ sequence: 4 }));
  t.false(isTaken({ incarnation: 0, sequence: 9 }));
});

// Guards against memory that grows with every VM there ever was.
test('the part of a VM that has ended is dropped after a while', (t) => {
  const merged = mergeLoadPart(HELD, buildLoadPart({}, { vm: 'vm-2' }), 11_000);
  t.deepEqual([...merged.keys()], ['vm-2']);
});
