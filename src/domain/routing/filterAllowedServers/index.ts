import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { RefusalCode } from '../../types';
import type { BackendServer, Configuration, PlacementRule, Refusal, Workspace } from '../../types';
import type { AllowedServers } from '../types';

function listAllowedPlaces(
  rules: readonly PlacementRule[],
  workspace: Workspace,
  service: string,
): readonly string[] {
  const covering = rules.filter(
    (rule) =>
      (rule.workspaces.length === 0 || rule.workspaces.includes(workspace.name)) &&
      (rule.services.length === 0 || rule.services.includes(service)),
  );
  return workspace.places.filter((place) => covering.every((rule) => rule.places.includes(place)));
}

function buildRefusal(code: RefusalCode, message: string): Refusal {
  return { code, message, retryAfterMs: 0 };
}

/**
 * Filters the backend servers that a configuration allows to the work of a workspace.
 *
 * Fails closed: whatever the configuration does not allow, or does not name, is not allowed.
 * The places are those of the workspace minus what any covering placement rule takes away.
 *
 * @param configuration - a checked configuration
 * @param workspace - name of the workspace
 * @param service - name of the service
 * @returns the allowed servers, or the refusal that the caller gets
 */
export function filterAllowedServers(
  configuration: Configuration,
  workspace: string,
  service: string,
): Result<AllowedServers, Refusal> {
  const known = configuration.services.find(({ name }) => name === service);
  if (known === undefined) {
    return err(buildRefusal(RefusalCode.UnknownService, `there is no service "${service}"`));
  }
  const owner = configuration.workspaces.find(({ name }) => name === workspace);
  if (owner === undefined || !owner.services.includes(service)) {
    const message = `workspace "${workspace}" may not use service "${service}"`;
    return err(buildRefusal(RefusalCode.ServiceNotAllowed, message));
  }
  const places = listAllowedPlaces(configuration.placementRules, owner, service);
  const zones = configuration.places.filter(({ name }) => places.includes(name));
  if (zones.length === 0) {
    const message = `no place is allowed for service "${service}" of workspace "${workspace}"`;
    return err(buildRefusal(RefusalCode.NoAllowedPlace, message));
  }
  const findFault = (server: BackendServer): string | null => {
    if (!server.services.includes(service)) return 'does-not-serve';
    const inPlace = zones.some(
      ({ region, availabilityZones }) =>
        region === server.region && availabilityZones.includes(server.availabilityZone),
    );
    return inPlace ? null : 'place-not-allowed';
  };
  return ok({
    service: known,
    places: zones.map(({ name }) => name).sort(),
    servers: configuration.backendServers.filter((server) => findFault(server) === null),
    filtered: configuration.backendServers.flatMap((server) => {
      const reason = findFault(server);
      return reason === null ? [] : [{ backendServer: server.name, reason }];
    }),
  });
}
