import test from 'ava';
import type { LoadReport } from '../../../domain/types';
import { createLoadView, PEER_SENDS_TTL_MS } from '.';

const buildReport = (sequence: number, running: number, receivedAtMs: number): LoadReport => ({
  backendServer: 'review-1',
  sequence,
  running,
  waiting: 0,
  slots: 8,
  cacheUse: 0,
  tokensPerSecond: 0,
  models: [],
  role: 'serve',
  leaving: false,
  fencingToken: 0,
  ageMs: 400,
  receivedAtMs,
});
const createView = () => {
  let nowMs = 1000;
  const clock = {
    readWallMs: () => nowMs,
    readMonotonicMs: () => nowMs,
    readIdleMs: () => nowMs,
    startTimer: () => () => {},
  };
  return {
    view: createLoadView({ clock }),
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
};

test('a report replaces only the sends made before it was sampled', (t) => {
  // Guards against bursts that pile up on a server that its last report shows as idle: a report
  // sampled at 1100 arrives 400 ms late and wipes out the send at 1300 that it does not include.
  const { view, setTime } = createView();
  view.recordSend('review-1', []);
  setTime(1300);
  view.recordSend('review-1', []);
  setTime(1500);
  view.recordReport(buildReport(1, 5, 1500));
  t.is(view.readRunningEstimate('review-1').running, 6);
  view.recordEnd('review-1', 60_000);
  t.is(view.readRunningEstimate('review-1').running, 5);
  view.recordReport(buildReport(1, 0, 1600));
  t.is(view.readRunningEstimate('review-1').running, 5);
});

test('the sends of a peer count at once, replace its last ones, and are dropped when it is silent', (t) => {
  const { view, setTime } = createView();
  const noticed: string[] = [];
  const stop = view.addListener((name) => noticed.push(name));
  view.recordPeerSends('vm-2', [{ backendServer: 'review-1', running: 3 }]);
  view.recordPeerSends('vm-3', [{ backendServer: 'review-1', running: 2 }]);
  t.is(view.readRunningEstimate('review-1').running, 5);
  view.recordPeerSends('vm-2', []);
  t.is(view.readRunningEstimate('review-1').running, 2);
  stop();
  setTime(1000 + PEER_SENDS_TTL_MS + 1);
  view.recordPeerSends('vm-2', []);
  t.is(view.readRunningEstimate('review-1').running, 0);
  t.is(noticed.length, 3);
});

test('own sends are listed for peers until they end; a duplicate end is ignored', (t) => {
  const { view } = createView();
  view.recordSend('review-1', []);
  t.deepEqual(view.listOwnSends(), [{ backendServer: 'review-1', running: 1 }]);
  view.recordEnd('review-1', 60_000);
  view.recordEnd('review-1', 60_000);
  t.deepEqual(view.listOwnSends(), []);
  view.recordSend('review-1', []);
  t.is(view.readRunningEstimate('review-1').running, 1);
});
