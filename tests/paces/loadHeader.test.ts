import test from 'ava';
import { err, ok } from 'neverthrow';
import { createServerDirectory } from '../../src/application/forwarding';
import { createServerPaces } from '../../src/application/paces';
import { decodeServerSignals } from '../../platform/decodeResponseHead';
import { createFakeClock, QUIET_LOG, STORE, buildServerStatus } from '../../standins/fakes';
import { HEADERS } from '../../platform/names';

const decodeLoad = (text: string) => decodeServerSignals({ [HEADERS.load]: text }).load;

test('the fourth figure of the load header is the work factor; 100 is as usual', (t) => {
  t.deepEqual(decodeLoad('3,1,6,250'), { running: 3, waiting: 1, slots: 6, workFactor: 2.5 });
  t.is(decodeLoad('3,1,6, 100 ')?.workFactor, 1);
  t.is(decodeServerSignals({}).load, null);
});

// Guards against a factor of zero or NaN, by which no server could be compared.
test('a malformed fourth figure is none, and the other figures stay valid', (t) => {
  ['3,1,6', '3,1,6,', '3,1,6,0', '3,1,6,-5', '3,1,6,x', '3,1,6,Infinity'].forEach((text) =>
    t.deepEqual(decodeLoad(text), { running: 3, waiting: 1, slots: 6, workFactor: null }),
  );
});

// Guards against loads that are no numbers: no server was the least loaded one beside them.
test('a load header with a count that is no number is none', (t) => {
  ['', 'x,1,6', '3,x,6,100', '3,1,x', '-1,0,6', '3,1,0'].forEach((text) =>
    t.is(decodeLoad(text), null),
  );
});

// Guards against paces of the machine on which a server ran before its restart.
test('the paces of a server that restarted under its id are forgotten', (t) => {
  const clock = createFakeClock();
  const paces = createServerPaces({ clock });
  const directory = createServerDirectory({
    decode: (id, value) =>
      value.length === 0
        ? err('malformed')
        : ok({ ...buildServerStatus(id, 'z1').entry, bornMs: Number(value) }),
    clock,
    log: QUIET_LOG,
    reuseAfterMs: 2000,
    handleGone: (_, incarnation) => paces.forgetServer(incarnation),
    handleSuspected: () => undefined,
    handleInferred: () => undefined,
  });
  const applyBorn = (born: string, version: number): void =>
    directory.applyRows([{ key: 'a', value: Buffer.from(born), version }], STORE);
  const before = { service: 's', incarnation: 'a@1000' };
  applyBorn('1000', 1);
  paces.recordWorkFactor(before, 1);
  paces.record(before, { kind: 'call', tookMs: 50, workFactor: 1 });
  paces.record({ ...before, incarnation: 'b' }, { kind: 'call', tookMs: 10, workFactor: 1 });
  t.not(paces.readPace(before).callMs, paces.readServicePace('s').callMs);
  applyBorn('2000', 2);
  t.is(paces.readPace(before).callMs, paces.readServicePace('s').callMs);
});
