// Guards against VMs that spend their processors on probes and questions after a cut or a restart:
// what they ask grows with the requests of callers, not with VMs times servers.
import test from 'ava';
import {
  createRelayRegistry,
  createServerPaths,
  createServerReach,
  type ServerReach,
} from '../../src/application/paths';
import { buildServerEntries } from './_lib/buildServerEntries';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../standins/fakes';

interface World {
  readonly vms: number;
  readonly servers: number;
  /** Servers that no VM reaches, as a share. */
  readonly cutShare: number;
  /** VMs that reach no server, as a share; the others are their relays. */
  readonly cutVmShare: number;
  /** Requests a second at all VMs together. */
  readonly requestsPerS: number;
}

const CONNECT_TIMEOUT_MS = 120;
const STEP_MS = 10;
const DURATION_MS = 24_000;

/** All VMs lose what they know, as after a loss of power in the cut. */
const RESTART_AT_MS = 12_000;

/** Questions and probes that a VM may make whatever callers ask: to find its links after a start. */
const BASE_PER_VM_AND_START = 40;

/** Questions and probes for each request. */
const ASKED_PER_REQUEST = 1.5;

/** Plays the world; counts requests, probes and questions. */
const play = async ({ cutShare, cutVmShare, requestsPerS, servers, vms }: World) => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(vms + servers);
  const entries = buildServerEntries(servers);
  const cutIds = new Set(entries.slice(0, Math.round(servers * cutShare)).map(({ id }) => id));
  const counts = { requests: 0, probes: 0, questions: 0 };
  const isVmCut = (vm: number): boolean => vm < vms * cutVmShare;
  const isCut = (vm: number, id: string): boolean => isVmCut(vm) || cutIds.has(id);
  const peers = Array.from({ length: vms }, (_, index) => ({
    vm: `vm-${index}`,
    address: String(index),
    availabilityZone: `z${index % 3}`,
    cores: 1,
  }));
  const reaches: ServerReach[] = [];
  const createVm = (index: number) => {
    const common = { clock, randomness, log: QUIET_LOG };
    const reach = createServerReach({
      ...common,
      listServers: () => entries,
      probeServer: ({ id }) => {
        counts.probes += 1;
        if (!isCut(index, id)) return Promise.resolve(true);
        return new Promise((resolve) => {
          clock.startTimer(CONNECT_TIMEOUT_MS, () => resolve(false));
        });
      },
    });
    reaches[index] = reach;
    const relays = createRelayRegistry({
      ...common,
      self: { vm: `vm-${index}`, availabilityZone: `z${index % 3}` },
      listPeers: () => peers.filter(({ vm }) => vm !== `vm-${index}`),
      askPeer: async (address, question) => {
        counts.questions += 1;
        const answer = await reaches[Number(address)]?.probeReach(question);
        return answer ? { ...answer, running: 0 } : null;
      },
    });
    const paths = createServerPaths({ ...common, reach, relays, handleRelayed: () => undefined });
    return { reach, paths };
  };
  let fleet = peers.map((_, index) => createVm(index));
  const sendRequest = (index: number): void => {
    const { paths, reach } = fleet[index] as (typeof fleet)[number];
    const usable = entries.filter(
      ({ id }) => reach.isReached(id) || paths.choosePath(id).kind === 'relay',
    );
    const one = usable[Math.floor(randomness.readFraction() * usable.length)] ?? entries[0];
    counts.requests += 1;
    if (!one || paths.choosePath(one.id).kind === 'relay') return;
    if (isCut(index, one.id)) paths.recordFailure(one.id, 'not-connected');
    else paths.recordAnswer(one.id, { isNewConnection: true });
  };
  let due = 0;
  for (let atMs = 0; atMs < DURATION_MS; atMs += STEP_MS) {
    if (atMs === RESTART_AT_MS) {
      fleet.forEach(({ paths }) => paths.stop());
      fleet = peers.map((_, index) => createVm(index));
    }
    for (due += (requestsPerS * STEP_MS) / 1000; due >= 1; due -= 1)
      sendRequest(Math.floor(randomness.readFraction() * vms));
    await clock.advanceAsync(STEP_MS);
  }
  fleet.forEach(({ paths }) => paths.stop());
  return counts;
};

const WORLDS: readonly World[] = [
  { vms: 67, servers: 88, cutShare: 0.55, cutVmShare: 0, requestsPerS: 170 },
  { vms: 67, servers: 88, cutShare: 0, cutVmShare: 0.6, requestsPerS: 170 },
  { vms: 67, servers: 352, cutShare: 0.55, cutVmShare: 0.3, requestsPerS: 170 },
  { vms: 195, servers: 88, cutShare: 0.55, cutVmShare: 0.3, requestsPerS: 170 },
];

test('what VMs ask after a cut and a restart grows with the requests of callers', async (t) => {
  const found: string[] = [];
  for (const world of WORLDS) {
    const { probes, questions, requests } = await play(world);
    const most = ASKED_PER_REQUEST * requests + 2 * BASE_PER_VM_AND_START * world.vms;
    const line = `${JSON.stringify(world)}: ${requests} requests, ${probes} probes, ${questions} questions of ${most}`;
    t.log(line);
    if (probes + questions > most) found.push(line);
  }
  t.deepEqual(found, []);
});
