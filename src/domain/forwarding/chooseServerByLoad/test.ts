import test from 'ava';
import fc from 'fast-check';
import { buildServerStatus } from '../../../../standins/fakes';
import { chooseLeastLoadedServer } from '../chooseLeastLoadedServer';
import { chooseServerByLoad } from '.';

const buildRelativePace = (ratio: number) => ({ ratio, workFactor: 1, slowness: ratio });

const ZONES = ['z1', 'z2', 'z3'];
const SERVERS = fc.array(
  fc.record({
    zone: fc.constantFrom(...ZONES),
    running: fc.nat(12),
    reported: fc.nat(12),
    reportedAgeMs: fc.nat(2000),
    availableMs: fc.nat(2000),
    copies: fc.nat(4),
    isSuspected: fc.boolean(),
  }),
  { maxLength: 8 },
);
const ZONE = fc.option(fc.constantFrom(...ZONES));
const DRAW = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

test('without paces the least loaded server is chosen', (t) => {
  fc.assert(
    fc.property(SERVERS, ZONE, ZONE, DRAW, (changes, avoidedZone, preferredZone, draw) => {
      const servers = changes.map(({ zone, ...change }, index) =>
        buildServerStatus(`i-${index}`, zone, change),
      );
      const excludedIds = new Set(['i-0']);
      const options = { excludedIds, avoidedZone, preferredZone, draw };
      t.is(
        chooseServerByLoad(servers, { ...options, readPace: null }),
        chooseLeastLoadedServer(servers, options),
      );
    }),
  );
});

test('with paces a fast server is chosen although it has more requests', (t) => {
  const servers = [
    buildServerStatus('fast', 'z1', { running: 2 }),
    buildServerStatus('slow', 'z1'),
  ];
  const chosen = chooseServerByLoad(servers, {
    excludedIds: new Set(),
    avoidedZone: null,
    preferredZone: null,
    draw: 0,
    readPace: ({ id }) => buildRelativePace(id === 'fast' ? 0.2 : 1),
  });
  t.is(chosen?.entry.id, 'fast');
});
