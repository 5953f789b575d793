import test from 'ava';
import { judgeVersion } from '.';
import type { RouteTally, VersionTally } from '../types';

const tally = (requests: number, poor: number): VersionTally => ({ requests, poor });

const route = (established: VersionTally, candidate: VersionTally): RouteTally => ({
  established,
  candidate,
});

test('a version with half of its answers poor is bad after a few answers', (t) => {
  const judged = judgeVersion(new Map([['r', route(tally(200, 4), tally(12, 6))]]));
  t.is(judged.kind, 'bad');
});

test('failures that affect both versions are no evidence against the new one', (t) => {
  const judged = judgeVersion(new Map([['r', route(tally(200, 100), tally(20, 11))]]));
  t.not(judged.kind, 'bad');
});

test('a version that is bad on one route only is bad, and the route is named', (t) => {
  const judged = judgeVersion(
    new Map([
      ['good', route(tally(2000, 40), tally(80, 2))],
      ['broken', route(tally(100, 2), tally(6, 5))],
    ]),
  );
  t.like(judged, { kind: 'bad', route: 'broken' });
});

test('a version is sound only once a bad one is unlikely to have so few poor answers', (t) => {
  t.is(judgeVersion(new Map([['r', route(tally(200, 4), tally(5, 0))]])).kind, 'unknown');
  t.is(judgeVersion(new Map([['r', route(tally(200, 4), tally(30, 0))]])).kind, 'sound');
});

test('a version is not sound while it has too few requests on a route in use', (t) => {
  const judged = judgeVersion(
    new Map([
      ['seen', route(tally(200, 4), tally(60, 1))],
      ['unseen', route(tally(100, 2), tally(1, 0))],
    ]),
  );
  t.deepEqual(judged, { kind: 'unknown', reason: 'route unseen was hardly tried' });
});

test('a version is unknown without any requests, or without any of the established one', (t) => {
  t.is(judgeVersion(new Map()).kind, 'unknown');
  t.is(judgeVersion(new Map([['r', route(tally(0, 0), tally(2, 2))]])).kind, 'unknown');
});

test('of 2,000 versions as good as the established one, judged after each answer, at most 10 are called bad', (t) => {
  let state = 7;
  const draw = (): number => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
  const isCalledBad = (): boolean => {
    let poor = 0;
    for (let requests = 1; requests <= 60; requests += 1) {
      if (draw() < 0.14) poor += 1;
      const tallies = new Map([['r', route(tally(1000, 140), tally(requests, poor))]]);
      if (judgeVersion(tallies).kind === 'bad') return true;
    }
    return false;
  };
  const bad = Array.from({ length: 2000 }, isCalledBad).filter(Boolean).length;
  t.true(bad <= 10, String(bad));
});
