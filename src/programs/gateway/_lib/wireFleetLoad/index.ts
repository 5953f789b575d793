import type { GatewayClient } from '../../../../adapters/connect';
import {
  createFleetLoad,
  type FleetLoad,
  type FleetLoadDependencies,
} from '../../../../application/fleet-load';
import type { ServerDirectory } from '../../../../application/forwarding';
import type { ServerPaces } from '../../../../application/paces';

/** Dependencies of the load of the fleet. */
export interface FleetLoadPartsDependencies extends Omit<
  FleetLoadDependencies,
  'calls' | 'isEnabled' | 'readRequests'
> {
  readonly calls: Pick<GatewayClient, 'exchangeLoad' | 'reportLoad'>;
  readonly directory: Pick<ServerDirectory, 'listServing'>;
  readonly serverPaces: Pick<ServerPaces, 'isUneven'>;
}

/** Wires the load of the fleet, for services whose servers state how long work takes. */
export const wireFleetLoad = ({
  directory,
  serverPaces,
  ...dependencies
}: FleetLoadPartsDependencies): FleetLoad =>
  createFleetLoad({
    ...dependencies,
    isEnabled: serverPaces.isUneven,
    readRequests: (service) =>
      new Map(
        directory
          .listServing(service)
          .filter(({ running }) => running > 0)
          .map(({ entry, running }) => [entry.id, running]),
      ),
  });
