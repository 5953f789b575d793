import type { Configuration, Workspace } from '../../../types';
import type { ConfigurationFault } from '../../types';
import { isCovered, listAllowedPlaces } from '../listAllowedPlaces';
import { buildNameSet, listUnknownNames } from '../listUnknownNames';

function isServed(
  configuration: Configuration,
  service: string,
  places: readonly string[],
): boolean {
  const allowed = configuration.places.filter(({ name }) => places.includes(name));
  return configuration.backendServers.some(
    (server) =>
      server.services.includes(service) &&
      allowed.some(
        (place) =>
          place.region === server.region &&
          place.availabilityZones.includes(server.availabilityZone),
      ),
  );
}

function checkServicePlacement(
  configuration: Configuration,
  workspace: Workspace,
  service: string,
): readonly ConfigurationFault[] {
  const places = listAllowedPlaces(configuration, workspace, service);
  if (places.length === 0) {
    const rules = configuration.placementRules
      .filter((rule) => isCovered(rule, workspace.name, service))
      .map(({ name }) => name);
    const [rule = ''] = rules;
    const reason =
      `leaves no place to service "${service}" of workspace "${workspace.name}" ` +
      `(rules that cover it: ${rules.join(', ')})`;
    return [{ path: ['placement_rules', rule, 'places'], reason }];
  }
  if (isServed(configuration, service, places)) {
    return [];
  }
  const reason = `no backend server of ${places.join(', ')} serves "${service}"`;
  return [{ path: ['workspaces', workspace.name, 'services'], reason }];
}

function listRepeatedDigests(workspaces: readonly Workspace[]): readonly ConfigurationFault[] {
  const owners = new Map<string, string>();
  return workspaces.flatMap(({ name, keyDigests }) =>
    keyDigests.flatMap((digest) => {
      const owner = owners.get(digest);
      owners.set(digest, owner ?? name);
      return owner === undefined
        ? []
        : [
            {
              path: ['workspaces', name, 'key_digests'],
              reason: `holds a key digest that workspace "${owner}" already holds`,
            },
          ];
    }),
  );
}

function checkWorkspace(
  configuration: Configuration,
  workspace: Workspace,
): readonly ConfigurationFault[] {
  const path = ['workspaces', workspace.name];
  const { services, places } = configuration;
  if (workspace.places.length === 0) {
    return [{ path: [...path, 'places'], reason: 'must name at least one place' }];
  }
  const unknown = [
    ...listUnknownNames(
      [...path, 'services'],
      'service',
      workspace.services,
      buildNameSet(services),
    ),
    ...listUnknownNames([...path, 'places'], 'place', workspace.places, buildNameSet(places)),
  ];
  // Placement can only be checked if all names are known.
  return unknown.length > 0
    ? unknown
    : workspace.services.flatMap((service) =>
        checkServicePlacement(configuration, workspace, service),
      );
}

/**
 * Lists faults of workspaces: unknown names, services without an allowed server, and key digests
 * that another workspace also lists.
 */
export function listWorkspaceFaults(configuration: Configuration): readonly ConfigurationFault[] {
  const faults = configuration.workspaces.flatMap((workspace) =>
    checkWorkspace(configuration, workspace),
  );
  return [...faults, ...listRepeatedDigests(configuration.workspaces)];
}
