import test from 'ava';
import { ok } from 'neverthrow';
import type { LoadReport } from '../../../domain/types';
import type { EngineClient } from '../../ports';
import { buildConfiguration, buildServer } from '../_lib/createRouterFixture';
import { createLoadView } from '../createLoadView';
import { createLoadPoller } from '.';

const SERVERS = Array.from({ length: 12 }, (_, index) => buildServer(`s${index}`, ['long'], 4));
const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];

/** Polls once as each VM; returns the number of load polls by server. */
const countPolls = async (vms: readonly string[]): Promise<ReadonlyMap<string, number>> => {
  const counts = new Map<string, number>();
  const clock = {
    readWallMs: () => 0,
    readMonotonicMs: () => 0,
    readIdleMs: () => 0,
    startTimer: () => () => {},
  };
  const engines = {
    readLoad: async ({ name }) => {
      counts.set(name, (counts.get(name) ?? 0) + 1);
      return ok({ backendServer: name, sequence: 1, running: 2, waiting: 0 } as LoadReport);
    },
    listCacheEvents: async () => ok([]),
  } as Pick<EngineClient, 'readLoad' | 'listCacheEvents'> as EngineClient;
  const configuration = buildConfiguration(SERVERS, 1);
  const current = { version: 1, configuration, appliedAtMs: 0, appliedBy: '', comment: '' };
  const pollers = vms.map((vm) =>
    createLoadPoller({
      engines,
      configuration: { readCurrent: () => current, addListener: () => () => {} },
      load: createLoadView({ clock }),
      clock,
      vm,
      region: 'r',
      listLiveVms: () => vms,
    }),
  );
  pollers.forEach((poller) => poller.stop());
  return counts;
};

test('two VMs poll every server, whichever VMs are live; a single VM polls all', async (t) => {
  const all = await countPolls(VMS);
  t.deepEqual([...all.values()], Array(12).fill(2));
  t.deepEqual([...(await countPolls(VMS.slice(1))).values()], Array(12).fill(2));
  t.deepEqual([...(await countPolls(['vm-1'])).values()], Array(12).fill(1));
});
