import { createFleetLoad, type FleetLoad } from '../../src/application/fleet-load';
import type { ServerDirectory } from '../../src/application/forwarding';
import type { ServerPaces } from '../../src/application/paces';
import type { Randomness } from '../../src/application/ports';
import { QUIET_LOG, type FakeClock } from '../../standins/fakes';
import {
  SIMULATED_SERVICE,
  SIMULATED_ZONE_COUNT,
} from '../../standins/model/createSimulatedDirectory';

/** Dependencies of the simulated fleet; VMs alternate between the zones. */
export interface SimulatedFleetDependencies {
  readonly directories: readonly {
    readonly directory: ServerDirectory;
    readonly paces: ServerPaces;
  }[];
  readonly clock: FakeClock;
  readonly randomness: Randomness;
  /** Time that a message to another zone takes longer, both ways. */
  readonly crossingMs: number;
}

const ROUND_TRIP_MS = 2;

/** Creates the load of the fleet at each VM, with calls that take a round trip. */
export const createSimulatedFleet = ({
  clock,
  crossingMs,
  directories,
  randomness,
}: SimulatedFleetDependencies): readonly FleetLoad[] => {
  const vms = directories.map((_, index) => ({
    vm: `vm-${index}`,
    address: String(index),
    availabilityZone: `z${index % SIMULATED_ZONE_COUNT}`,
    cores: 1,
  }));
  const fleet: FleetLoad[] = [];
  const answer = <Answer>(build: () => Answer, tookMs = ROUND_TRIP_MS): Promise<Answer> =>
    new Promise((resolve) => {
      clock.startTimer(tookMs, () => resolve(build()));
    });
  directories.forEach(({ directory, paces }, index) =>
    fleet.push(
      createFleetLoad({
        self: vms[index] as (typeof vms)[number],
        listPeers: () => vms,
        calls: {
          reportLoad: (address, part) =>
            answer(() => fleet[Number(address)]?.handleReport(part) ?? null),
          exchangeLoad: (address, zone) =>
            answer(
              () => ({ zone: fleet[Number(address)]?.handleExchange(zone) ?? null }),
              crossingMs,
            ),
        },
        readRequests: () =>
          new Map(
            directory
              .listServing(SIMULATED_SERVICE)
              .filter(({ running }) => running > 0)
              .map(({ entry, running }) => [entry.id, running]),
          ),
        isEnabled: paces.isUneven,
        clock,
        randomness,
        log: QUIET_LOG,
      }),
    ),
  );
  return fleet;
};
