import { err, ok } from 'neverthrow';
import { createFakeClock } from '../createFakeClock';
import { QUIET_LOG } from '../quietLog';
import { createServerDirectory } from '../../../src/application/forwarding';

/** Origin of rows from the store, without an outage. */
export const STORE = {
  source: 'store',
  ageMs: 0,
  outageEndedAtMs: null,
  isRestored: false,
} as const;

/** Creates a directory for tests that records its notifications. */
export const createDirectoryFixture = () => {
  const clock = createFakeClock();
  const gone: string[] = [];
  const suspected: string[] = [];
  const inferred: string[] = [];
  const directory = createServerDirectory({
    decode: (id, value) => {
      if (value.length === 0) return err('malformed');
      const [address = '', state = '', born] = value.toString('utf8').split(' ');
      return ok({
        id,
        service: 's',
        address,
        availabilityZone: 'z1',
        slots: 4,
        isLeaving: state === 'leaving',
        version: 'v1',
        warmupLeftMs: 0,
        bornMs: born === undefined ? null : Number(born),
        sequence: 0,
      });
    },
    clock,
    log: QUIET_LOG,
    handleGone: (id) => gone.push(id),
    handleSuspected: (id) => suspected.push(id),
    handleInferred: ({ id }) => inferred.push(id),
    reuseAfterMs: 2000,
  });
  const listIds = (): string[] => directory.listServing('s').map(({ entry }) => entry.id);
  return { clock, directory, gone, inferred, listIds, suspected };
};
