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
  const matching = rules.filter(
    (rule) =>
      (rule.workspaces.length === 0 || rule.workspaces.includes(workspace.name)) &&
      (rule.services.length === 0 || rule.services.includes(service)),
  );
  return workspace.places.filter((place) => matching.every((rule) => rule.places.includes(place)));
}

function buildRefusal(code: RefusalCode, message: string): Refusal {
  return { code, message, retryAfterMs: 0 };
}

/**
 * Filters the backend servers on which a configuration allows a workspace to use a service.
 *
 * Fails closed: what the configuration does not explicitly allow is refused. The allowed places are
 * those of the workspace that every matching placement rule allows as well.
 *
 * @param configuration - a validated configuration
 * @param workspace - name of the workspace
 * @param service - name of the service
 * @returns the allowed servers, or the refusal for the caller
 */
export function filterAllowedServers(
  configuration: Configuration,
  workspace: string,
  service: string,
): Result<AllowedServers, Refusal> {
  const knownService = configuration.services.find(({ name }) => name === service);
  if (knownService === undefined) {
    return err(buildRefusal(RefusalCode.UnknownService, `there is no service "${service}"`));
  }
  const knownWorkspace = configuration.workspaces.find(({ name }) => name === workspace);
  if (knownWorkspace === undefined || !knownWorkspace.services.includes(service)) {
    const message = `workspace "${workspace}" may not use service "${service}"`;
    return err(buildRefusal(RefusalCode.ServiceNotAllowed, message));
  }
  const places = listAllowedPlaces(configuration.placementRules, knownWorkspace, service);
  const zones = configuration.places.filter(({ name }) => places.includes(name));
  if (zones.length === 0) {
    const message = `no place is allowed for service "${service}" of workspace "${workspace}"`;
    return err(buildRefusal(RefusalCode.NoAllowedPlace, message));
  }
  const findExclusionReason = (server: BackendServer): string | null => {
    if (!server.services.includes(service)) return 'does-not-serve';
    const inPlace = zones.some(
      ({ region, availabilityZones }) =>
        region === server.region && availabilityZones.includes(server.availabilityZone),
    );
    return inPlace ? null : 'place-not-allowed';
  };
  return ok({
    service: knownService,
    places: zones.map(({ name }) => name).sort(),
    servers: configuration.backendServers.filter((server) => findExclusionReason(server) === null),
    filtered: configuration.backendServers.flatMap((server) => {
      const reason = findExclusionReason(server);
      return reason === null ? [] : [{ backendServer: server.name, reason }];
    }),
  });
}
