import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { listPartOutcomes } from '.';

test('the parts of a run that had gone on for long share its outcome', (t) => {
  const outcome = buildRunOutcome({ fingerprint: 'f', ranMs: 4000, isLate: true });
  const [first, second] = listPartOutcomes({ ...outcome, parts: ['part-a', 'part-b'] });
  t.deepEqual(first, { ...outcome, fingerprint: 'part-a', requestId: 'f' });
  t.is(second?.fingerprint, 'part-b');
});

test('the parts of any other run, and of a request without parts, have outcomes of their own', (t) => {
  t.deepEqual(listPartOutcomes(buildRunOutcome({ parts: ['part-a'] })), []);
  t.deepEqual(listPartOutcomes(buildRunOutcome({ isLate: true })), []);
});
