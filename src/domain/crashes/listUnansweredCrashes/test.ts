import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { WHOLE_RUN_MS } from '../types';
import { listUnansweredCrashes } from '.';

const FINGERPRINTS = { request: 'f', part: 'part-a' };

const crash = buildRunOutcome({ fingerprint: FINGERPRINTS.part, ranMs: 300, atMs: 10 });

const answerAfter = (ranMs: number, atMs = 20, fingerprint = FINGERPRINTS.part) =>
  buildRunOutcome({ fingerprint, hasCrashed: false, ranMs, atMs, server: 'i-2' });

test('a crash under a part counts until a run with the part has outlasted it', (t) => {
  t.deepEqual(listUnansweredCrashes([crash, answerAfter(300)]), [crash]);
  t.deepEqual(listUnansweredCrashes([crash, answerAfter(301)]), []);
  t.deepEqual(listUnansweredCrashes([crash, answerAfter(WHOLE_RUN_MS)]), []);
});

test('an answer from before a crash does not refute it', (t) => {
  t.deepEqual(listUnansweredCrashes([answerAfter(WHOLE_RUN_MS, 9), crash]), [crash]);
});

test('any later answer to a request refutes its crashes', (t) => {
  const ofRequest = { ...crash, fingerprint: FINGERPRINTS.request };
  t.deepEqual(listUnansweredCrashes([ofRequest, answerAfter(0, 20, FINGERPRINTS.request)]), []);
});
