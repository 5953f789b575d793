import test from 'ava';
import {
  createFakeClock,
  createSeededRandomness,
  NO_RETRY_METER,
  QUIET_LOG,
} from '../../../../../standins/fakes';
import { buildGatewaySettings, createVirtualStore } from '../../../../../standins/gateway';
import { wireRetries } from '.';

const VMS = 17;

/** Wires the retries of one of many VMs that may send few retries without requests. */
const build = async (retryExtra: number) => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  store.writeRow('op', 'config', {});
  const settings = buildGatewaySettings('http://127.0.0.1:1');
  const parts = wireRetries({
    settings: { ...settings, bounds: { ...settings.bounds, retryExtra } },
    calls: { borrowRetry: async () => false, returnRetry: () => undefined },
    gossip: { countVms: () => VMS, drawAddresses: () => [], listMembers: () => [] },
    ...{ clock, store, log: QUIET_LOG, meter: NO_RETRY_METER },
    randomness: createSeededRandomness(1),
  });
  parts.share.start();
  await clock.advanceAsync(6000);
  parts.share.stop();
  return parts;
};

// Guards against fixed retries that are lost in rounding: VMs got one of two where few are allowed.
test('a VM may use as many fixed retries as it holds parts, also where few are allowed', async (t) => {
  const { retries } = await build(32);
  t.truthy(retries.acquireRetry('s'));
  t.truthy(retries.acquireRetry('s'));
  t.is(retries.acquireRetry('s'), null);
});

test('without fixed retries a VM still holds its part of the other bounds', async (t) => {
  const { readShare, retries } = await build(0);
  t.is(retries.acquireRetry('s'), null);
  t.is(readShare(), 0.06);
});
