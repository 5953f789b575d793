import test from 'ava';
import type { PeerView } from '../../peers';
import { cancelGenerationAnywhere } from '.';

const buildPeer = (vm: string, heardAgeMs: number | null): PeerView => ({
  vm,
  heardAgeMs,
  peerAddress: `${vm}:1`,
  region: 'r1',
  availabilityZone: 'z1',
  leaving: false,
  incarnation: 1,
  registered: true,
  configurationVersion: 1,
});

const cancelAt = async (holder: string) => {
  const asked: string[] = [];
  const found = await cancelGenerationAnywhere(
    {
      vm: 'entry-1',
      generations: { cancelGeneration: async () => holder === 'entry-1' },
      peers: {
        cancelGeneration: async ({ vm }) => {
          asked.push(vm);
          return vm === holder;
        },
      },
      listPeers: () => [
        buildPeer('entry-1', 0),
        buildPeer('entry-2', 10),
        buildPeer('entry-3', 20),
        buildPeer('entry-4', null),
      ],
    },
    { workspace: 'counter', generationId: 'gen_1' },
  );
  return { asked, found };
};

test('cancels a generation on this VM, or else on the VM that runs it', async (t) => {
  t.deepEqual(await cancelAt('entry-1'), { asked: [], found: true });
  t.deepEqual(await cancelAt('entry-3'), { asked: ['entry-2', 'entry-3'], found: true });
  t.deepEqual(await cancelAt('nobody'), { asked: ['entry-2', 'entry-3'], found: false });
});
