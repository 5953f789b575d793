import test from 'ava';
import { drawRelayCandidates, type RelayDraw } from '.';

const buildPeer = (vm: string, availabilityZone: string) => ({
  vm,
  address: `${vm}:1`,
  availabilityZone,
});

const OPTIONS: RelayDraw = {
  count: 3,
  ownZone: 'z1',
  knownVms: new Set(),
  skippedVms: new Set(),
  drawFraction: () => 0,
};

const OWN = [buildPeer('a', 'z1'), buildPeer('b', 'z1')];
const FOREIGN = [buildPeer('c', 'z2'), buildPeer('d', 'z3')];

const listVms = (options: Partial<RelayDraw>, peers = [...OWN, ...FOREIGN]) =>
  drawRelayCandidates(peers, { ...OPTIONS, ...options }).map(({ vm }) => vm);

test('most of the VMs asked are in other zones', (t) => {
  t.deepEqual(listVms({}), ['c', 'd', 'a']);
});

test('without VMs in other zones, those of the own zone are asked', (t) => {
  t.deepEqual(listVms({}, OWN), ['a', 'b']);
});

test('known relays are asked first, and skipped VMs not at all', (t) => {
  t.deepEqual(listVms({ knownVms: new Set(['b']), skippedVms: new Set(['c']) }), ['b', 'd', 'a']);
});

test('no peers give no candidates', (t) => {
  t.deepEqual(listVms({}, []), []);
});
