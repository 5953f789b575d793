import test from 'ava';
import { buildServerReport } from '../../../../standins/fakes';
import type { ServerReport } from '../types';
import { isRunLost } from '.';

const build = (change: Partial<ServerReport>): ServerReport =>
  buildServerReport({
    running: 2,
    eventsByRun: new Map([
      ['a', 9],
      ['b', 4],
    ]),
    ...change,
  });

const PREFILL = { ownMs: 1000, usualMs: 1200 };
const ARRIVED = { hasArrived: true, queueEmptyMs: 0, prefill: PREFILL };
const NOT_ARRIVED = { ...ARRIVED, hasArrived: false };

test('a run that is not listed is lost, unless it may wait or be read', (t) => {
  t.true(isRunLost(build({}), 'c', ARRIVED));
  t.false(isRunLost(build({ waiting: 1 }), 'c', ARRIVED));
  t.false(isRunLost(build({ running: 3 }), 'c', ARRIVED));
});

test('a run that is listed is not lost while its events arrive', (t) => {
  t.false(isRunLost(build({}), 'a', ARRIVED));
});

// Symptom: a stream has its first event after 4.7 s, of which 3.6 s were waiting for a server.
// Sequence: the server loses the answer, runs the request all the same, and answers all questions.
// Cause: a run that is listed counts as sound, whatever arrives of it.
test('a run that has made events of which none arrived is lost', (t) => {
  t.true(isRunLost(build({}), 'a', NOT_ARRIVED));
  t.false(isRunLost(build({ eventsByRun: new Map([['a', 1]]) }), 'a', NOT_ARRIVED));
});

test('a server that lists no runs tells nothing', (t) => {
  t.false(isRunLost(build({ eventsByRun: null }), 'c', NOT_ARRIVED));
});

// Symptom: a stream has its first event after 4.7 s, of which 3.6 s were waiting for one server.
// Sequence: the server loses the request while it goes on to read other prompts.
// Cause: a prompt that is being read may be this one, for however long.
test('a run that is not listed is lost once the prompts being read must be through', (t) => {
  const one = build({ running: 3 });
  t.false(isRunLost(one, 'c', { ...NOT_ARRIVED, queueEmptyMs: 1700 }));
  t.true(isRunLost(one, 'c', { ...NOT_ARRIVED, queueEmptyMs: 1800 }));
  const two = build({ running: 4 });
  t.false(isRunLost(two, 'c', { ...NOT_ARRIVED, queueEmptyMs: 3500 }));
  t.true(isRunLost(two, 'c', { ...NOT_ARRIVED, queueEmptyMs: 3600 }));
  t.false(
    isRunLost(build({ running: 3, waiting: 1 }), 'c', { ...NOT_ARRIVED, queueEmptyMs: 9000 }),
  );
});

test('while no prompt has been seen, none is overdue', (t) => {
  const prefill = { ownMs: Infinity, usualMs: Infinity };
  const options = { ...NOT_ARRIVED, queueEmptyMs: 60_000, prefill };
  t.false(isRunLost(build({ running: 3 }), 'c', options));
});
