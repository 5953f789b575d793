import test from 'ava';
import type { ServerReport } from '../types';
import { isRunLost } from '.';

const build = (change: Partial<ServerReport>): ServerReport => ({
  waiting: 0,
  running: 2,
  kvUsedTokens: 0,
  kvTotalTokens: 0,
  eventsByRun: new Map([
    ['a', 9],
    ['b', 4],
  ]),
  ...change,
});

const ARRIVED = { hasArrived: true, silentMs: 400, prefillMs: 1000 };
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
  const reading = build({ running: 3 });
  t.false(isRunLost(reading, 'c', { ...NOT_ARRIVED, silentMs: 1900 }));
  t.true(isRunLost(reading, 'c', { ...NOT_ARRIVED, silentMs: 2100 }));
  t.false(isRunLost(build({ running: 4 }), 'c', { ...NOT_ARRIVED, silentMs: 2100 }));
  t.false(isRunLost(reading, 'c', { ...NOT_ARRIVED, silentMs: 60_000, prefillMs: Infinity }));
});
