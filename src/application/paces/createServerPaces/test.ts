import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createServerPaces } from '.';

const A = { service: 's', incarnation: 'a@1' };
const B = { service: 's', incarnation: 'b' };

const createFixture = () => {
  const clock = createFakeClock();
  const paces = createServerPaces({ clock });
  const recordCalls = (server: typeof A, tookMs: number, count = 50): void => {
    paces.recordWorkFactor(server, 1);
    Array.from({ length: count }).forEach(() =>
      paces.record(server, { kind: 'call', tookMs, workFactor: 1 }),
    );
  };
  return { clock, paces, recordCalls };
};

test('a VM that starts knows no pace and takes no service for uneven', (t) => {
  const { paces } = createFixture();
  t.deepEqual(paces.readPace(A), {
    prefillMsPerToken: 0,
    decodeMsPerToken: 0,
    callMs: 0,
    workFactor: 1,
  });
  t.false(paces.isUneven('s'));
});

test('an unknown server has the pace of its service, a known one its own', (t) => {
  const { paces, recordCalls } = createFixture();
  recordCalls(A, 10);
  recordCalls(B, 30);
  const { callMs } = paces.readServicePace('s');
  t.true(callMs > 10 && callMs < 30);
  t.is(paces.readPace({ service: 's', incarnation: 'c' }).callMs, callMs);
  t.true(paces.readPace(A).callMs < 13);
  t.true(paces.readPace(B).callMs > 27);
});

// Guards against a server that is taken for slow as its few samples were all disturbed.
test('servers that state no factor share one pace, which follows the undisturbed samples', (t) => {
  const { paces } = createFixture();
  [20, 10, 10, 30].forEach((tookMs, index) =>
    paces.record(index === 3 ? B : A, { kind: 'prefill', tokens: 1, tookMs }),
  );
  const { prefillMsPerToken } = paces.readPace(B);
  t.true(prefillMsPerToken > 10 && prefillMsPerToken < 16);
  t.is(paces.readPace(A).prefillMsPerToken, prefillMsPerToken);
});

// Guards against a restarted server that is judged by the machine that it ran on before.
test('a server that restarted under its id begins with the pace of its service', (t) => {
  const { paces, recordCalls } = createFixture();
  recordCalls(A, 10);
  recordCalls(B, 30);
  paces.recordWorkFactor(A, 2.5);
  paces.forgetServer(A.incarnation);
  const restarted = paces.readPace({ service: 's', incarnation: 'a@2' });
  t.deepEqual(restarted, paces.readServicePace('s'));
  t.deepEqual(paces.readPace(A), restarted);
});

// Guards against a factor that holds longer than the machine is slow.
test('a stated factor makes its service uneven and counts for nothing after 2 s', (t) => {
  const { clock, paces } = createFixture();
  paces.recordWorkFactor(A, 2.5);
  t.is(paces.readPace(A).workFactor, 2.5);
  t.is(paces.readPace(B).workFactor, 1);
  clock.advance(2000);
  t.is(paces.readPace(A).workFactor, 1);
  t.true(paces.isUneven('s'));
  t.false(paces.isUneven('other'));
});

test('a factor that is not positive and finite is ignored', (t) => {
  const { paces } = createFixture();
  [0, -1, NaN, Infinity].forEach((factor) => paces.recordWorkFactor(A, factor));
  t.false(paces.isUneven('s'));
});

// Guards against memory that grows with every server that ever ran.
test('the servers used longest ago are forgotten', (t) => {
  const { paces, recordCalls } = createFixture();
  recordCalls(A, 10, 1);
  Array.from({ length: 4096 }, (_, index) =>
    recordCalls({ service: 's', incarnation: `n-${index}` }, 30, 1),
  );
  t.deepEqual(paces.readPace(A), paces.readServicePace('s'));
});
