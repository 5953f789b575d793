import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import { limitLoadBytes, type LoadPart } from '../../../../domain/fleet-load';
import { LoadPartSchema } from '../../gen/gateway_pb';
import { buildLoadPartMessage, readLoadPartMessage } from '.';

const count = fc.nat();
const name = fc.string({ minLength: 1 });
const number = fc.float({ min: 0, noNaN: true, noDefaultInfinity: true }).map((value) => value + 0);
const part = fc.record({
  vm: name,
  incarnation: count,
  sequence: count,
  availabilityZone: name,
  vms: count,
  ageMs: count,
  roundTripMs: fc.option(number),
  omittedServers: count,
  services: fc.array(
    fc.record({
      service: name,
      arrivalsPerS: number,
      requestsByServer: fc.array(fc.tuple(name, count)).map((pairs) => new Map(pairs)),
    }),
    { maxLength: 3 },
  ),
}) as fc.Arbitrary<LoadPart>;

const encode = (sent: LoadPart): Uint8Array => toBinary(LoadPartSchema, buildLoadPartMessage(sent));

test('a part of the load arrives as it was sent', (t) => {
  fc.assert(
    fc.property(part, (sent) => {
      t.deepEqual(readLoadPartMessage(fromBinary(LoadPartSchema, encode(sent))), sent);
    }),
    { numRuns: 50 },
  );
});

test('a load that was limited to a number of bytes is not longer when it is sent', (t) => {
  const requestsByServer = new Map(
    Array.from({ length: 3000 }, (_, index) => [`server-${index}`, 2 ** 32 - 1]),
  );
  const load = { service: 's', arrivalsPerS: 1, requestsByServer };
  const [sample] = fc.sample(part, { numRuns: 1, seed: 1 }) as [LoadPart];
  const empty = encode({ ...sample, services: [] }).length;
  const { services } = limitLoadBytes([load], 16_384);
  t.true(encode({ ...sample, services }).length - empty <= 16_384);
});

// Guards against a message that counts for no VM, or with an impossible rate.
test('a part without sender, start or zone is invalid, and malformed services are dropped', (t) => {
  const sent = { vm: 'vm-1', incarnation: 1, availabilityZone: 'z1' };
  const read = (change: object) => readLoadPartMessage(create(LoadPartSchema, { ...sent, ...change })); // prettier-ignore
  t.is(readLoadPartMessage(undefined), null);
  t.is(read({ vm: '' }), null);
  t.is(read({ availabilityZone: '' }), null);
  t.is(read({ incarnation: NaN }), null);
  const servers = [{ server: '', requests: 1 }, { server: 'i', requests: 2 }]; // prettier-ignore
  const services = [{ service: '' }, { service: 'x', arrivalsPerS: -1 }, { service: 's', servers }];
  t.deepEqual(read({ roundTripMs: -1, services })?.services, [
    { service: 's', arrivalsPerS: 0, requestsByServer: new Map([['i', 2]]) },
  ]);
  t.is(read({ roundTripMs: -1 })?.roundTripMs, null);
});
