import {
  createFleetLoad,
  type FleetLoad,
  type FleetLoadDependencies,
} from '../../../src/application/fleet-load';
import { SIMULATED_ZONE_COUNT } from '../createSimulatedDirectory';

/** VMs that exchange their load. */
export interface SimulatedFleetOptions extends Pick<
  FleetLoadDependencies,
  'clock' | 'log' | 'randomness'
> {
  /** By VM: what it reports. VMs are named from `vm-0` and alternate between the zones. */
  readonly sources: readonly Pick<FleetLoadDependencies, 'isEnabled' | 'readRequests'>[];
  readonly roundTripMs: number;
  /** Time that a message to another zone takes longer, both ways. */
  readonly crossingMs: number;
  /** Names of VMs whose messages are lost. */
  readonly cutOff?: ReadonlySet<string>;
  /** Called with each message, which it may deliver again. */
  readonly handleMessage?: (from: string, to: string, deliver: () => void) => void;
}

/** Creates the load of the fleet at each VM, by name, with messages that take a round trip. */
export const createSimulatedFleet = (
  options: SimulatedFleetOptions,
): ReadonlyMap<string, FleetLoad> => {
  const { clock, crossingMs, cutOff, handleMessage, roundTripMs, sources } = options;
  const vms = sources.map((_, index) => ({
    vm: `vm-${index}`,
    address: `vm-${index}`,
    availabilityZone: `z${index % SIMULATED_ZONE_COUNT}`,
    cores: 1,
  }));
  const fleet = new Map<string, FleetLoad>();
  const ask = <Answer>(
    from: string,
    to: string,
    read: (peer: FleetLoad) => Answer,
    tookMs = roundTripMs,
  ): Promise<Answer | null> =>
    new Promise((resolve) => {
      clock.startTimer(tookMs, () => {
        const peer = fleet.get(to);
        handleMessage?.(from, to, () => peer && read(peer));
        resolve(!peer || cutOff?.has(from) || cutOff?.has(to) ? null : read(peer));
      });
    });
  vms.forEach((self, index) => {
    const { vm } = self;
    fleet.set(
      vm,
      createFleetLoad({
        ...options,
        ...(sources[index] as (typeof sources)[number]),
        self,
        listPeers: () => vms,
        calls: {
          reportLoad: (to, part) => ask(vm, to, (peer) => peer.handleReport(part)),
          exchangeLoad: (to, zone) =>
            ask(vm, to, (peer) => ({ zone: peer.handleExchange(zone) }), roundTripMs + crossingMs),
        },
      }),
    );
  });
  return fleet;
};
