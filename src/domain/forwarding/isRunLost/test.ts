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

test('a run that is not listed is lost, unless it may be queued or in prefill', (t) => {
  t.true(isRunLost(build({}), 'c', ARRIVED));
  t.false(isRunLost(build({ waiting: 1 }), 'c', ARRIVED));
  t.false(isRunLost(build({ running: 3 }), 'c', ARRIVED));
});

test('a listed run is not lost while its events arrive', (t) => {
  t.false(isRunLost(build({}), 'a', ARRIVED));
});

// Guards against a first event after 4.7 s, 3.6 s of which were a wait for one server: the server
// lost the answer but went on with the run and answered status queries, and every listed run
// counted as healthy.
test('a run is lost if it has sent events of which none arrived', (t) => {
  t.true(isRunLost(build({}), 'a', NOT_ARRIVED));
  t.false(isRunLost(build({ eventsByRun: new Map([['a', 1]]) }), 'a', NOT_ARRIVED));
});

test('no run is lost on a server that lists no runs', (t) => {
  t.false(isRunLost(build({ eventsByRun: null }), 'c', NOT_ARRIVED));
});

// Guards against a first event after 4.7 s, 3.6 s of which were a wait for one server: the server
// lost the request while it prefilled other prompts, any of which might have been this one.
test('a run that is not listed is lost once all prompts in prefill must have finished', (t) => {
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

test('no run is overdue while the prefill time is unknown', (t) => {
  const prefill = { ownMs: Infinity, usualMs: Infinity };
  const options = { ...NOT_ARRIVED, queueEmptyMs: 60_000, prefill };
  t.false(isRunLost(build({ running: 3 }), 'c', options));
});
