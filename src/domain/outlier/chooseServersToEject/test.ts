import test from 'ava';
import { INITIAL_QUALITY } from '../types';
import type { ServerQuality } from '../types';
import { updateQuality } from '../updateQuality';
import { chooseServersToEject } from '.';

const buildServers = (qualities: readonly Partial<ServerQuality>[]) =>
  Array.from({ length: 10 }, (_, index) => ({
    name: `s${index}`,
    quality: { ...INITIAL_QUALITY, ...qualities[index] },
  }));
const listNames = (qualities: readonly Partial<ServerQuality>[]): readonly string[] =>
  chooseServersToEject(buildServers(qualities), 1000).map(({ name }) => name);

test('the worst servers are ejected, up to the highest fraction', (t) => {
  t.deepEqual(listNames([{}, { failures: 0.9 }, { speed: 0.3 }]), ['s1']);
  // Guards against a service that refuses all requests: a bad model version made all servers fail,
  // and each was ejected regardless of how many were left.
  const all = Array.from({ length: 10 }, (_, index) => ({ failures: 0.6 + index / 100 }));
  t.deepEqual(listNames(all), ['s9', 's8']);
  t.deepEqual(listNames([...all.slice(1), { ejectedUntilMs: 2000 }]), ['s8']);
});

test('a single server is never ejected, and repeated ejections last longer', (t) => {
  const bad = { ...INITIAL_QUALITY, failures: 1 };
  t.deepEqual(chooseServersToEject([{ name: 'a', quality: bad }], 0), []);
  const [first] = chooseServersToEject(buildServers([bad]), 0);
  const [third] = chooseServersToEject(buildServers([{ ...bad, ejections: 2 }]), 0);
  t.is(third?.quality.ejectedUntilMs, 4 * (first?.quality.ejectedUntilMs ?? 0));
  // A server is not ejected again after its ejection without a new observation.
  t.deepEqual(listNames([{ ...first?.quality, ejectedUntilMs: 0 }]), []);
});

test('three failures in a row eject a server, one does not, and a success resets the count', (t) => {
  const fail = (quality: ServerQuality): ServerQuality =>
    updateQuality(quality, { kind: 'attempt', failed: true });
  t.deepEqual(listNames([fail(INITIAL_QUALITY)]), []);
  t.deepEqual(listNames([fail(fail(fail(INITIAL_QUALITY)))]), ['s0']);
  const recovered = updateQuality(
    { ...INITIAL_QUALITY, ejections: 3 },
    { kind: 'attempt', failed: false },
  );
  t.is(recovered.ejections, 0);
});
