import test from 'ava';
import { createHttpVmList } from '..';
import { createStandInPlatform } from '../../../../standins/platform';
import { createPlatformDispatcher } from '../../platform-http';
import { createSystemClock } from '../../system';

test('VMs are listed as set through the control API of the stand-ins', async (t) => {
  const platform = await createStandInPlatform();
  const dispatcher = createPlatformDispatcher();
  t.teardown(async () => {
    await dispatcher.destroy();
    await platform.close();
  });
  const list = createHttpVmList(
    { endpoint: platform.vmList.url, deadlineMs: 20_000 },
    { clock: createSystemClock(), dispatcher },
  );
  const control = async (path: string, body: object): Promise<number> => {
    const answer = await fetch(`${platform.control.url}/control/${path}`, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    await answer.arrayBuffer();
    return answer.status;
  };
  const vm = { vm: 'engine-1', region: 'centro', availabilityZone: 'a' };
  t.is(await control('vmList/vms', { vms: [vm] }), 204);
  t.is(await control('vmList/leaving', { vm: 'engine-1' }), 204);
  t.deepEqual((await list.listVms())._unsafeUnwrap(), [{ ...vm, peerAddress: '', leaving: true }]);
  t.is(await control('vmList/lag', { lagMs: 60_000 }), 204);
  t.deepEqual((await list.listVms())._unsafeUnwrap(), []);
  t.is(await control('vmList/faults', { outage: 'never heard of' }), 400);
  t.is(await control('vmList/faults', { outage: 'error' }), 200);
  t.is((await list.listVms())._unsafeUnwrapErr().kind, 'unavailable');
});
