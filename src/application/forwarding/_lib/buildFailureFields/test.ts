import test from 'ava';
import { buildFailureFields } from '.';

test('a request that did not run is logged with what that rests on', (t) => {
  t.deepEqual(buildFailureFields({ kind: 'not-started', relay: null }), { basis: 'not-sent' });
  t.deepEqual(buildFailureFields({ kind: 'not-started', relay: 'vm-2' }), { basis: 'relay' });
});

test('a request that may have run is logged with the answer that came in place of its own', (t) => {
  const broken = { kind: 'broken', relay: null } as const;
  t.deepEqual(buildFailureFields(broken), {});
  t.deepEqual(buildFailureFields({ ...broken, foreign: { answerId: 'r-1', earlierRequests: 3 } }), {
    answerId: 'r-1',
    earlierRequests: 3,
  });
  t.deepEqual(buildFailureFields({ ...broken, foreign: { answerId: '', earlierRequests: null } }), {
    answerId: '',
  });
});
