import { ok } from 'neverthrow';
import { createServerDirectory, type ServerDirectory } from '../../../src/application/forwarding';
import type { Clock } from '../../../src/application/ports';
import { QUIET_LOG } from '../../fakes';

/** Service of all simulated servers. */
export const SIMULATED_SERVICE = 's';

/** Number of availability zones, named from `z0`. Servers, named from `<name>-0`, alternate. */
export const SIMULATED_ZONE_COUNT = 3;

/** Creates a gateway's directory in which the given servers are all ready. */
export const createSimulatedDirectory = (clock: Clock, ids: readonly string[]): ServerDirectory => {
  const directory = createServerDirectory({
    decode: (id) =>
      ok({
        id,
        service: SIMULATED_SERVICE,
        address: `${id}:1`,
        availabilityZone: `z${Number(id.slice(2)) % SIMULATED_ZONE_COUNT}`,
        slots: 64,
        isLeaving: false,
        version: 'v1',
        warmupLeftMs: 0,
        bornMs: null,
        sequence: 0,
      }),
    clock,
    log: QUIET_LOG,
    reuseAfterMs: 2000,
    handleGone: () => undefined,
    handleSuspected: () => undefined,
    handleInferred: () => undefined,
  });
  directory.applyRows(
    ids.map((key) => ({ key, value: Buffer.from('x'), version: 1 })),
    { source: 'store', ageMs: 0, outageEndedAtMs: null, isRestored: false },
  );
  return directory;
};
