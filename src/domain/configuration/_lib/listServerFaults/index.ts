import type { BackendServer, Configuration } from '../../../types';
import type { ConfigurationFault } from '../../types';
import { buildNameSet, listUnknownNames } from '../listUnknownNames';

function checkZone(server: BackendServer, configuration: Configuration): ConfigurationFault[] {
  const isKnown = configuration.places.some(
    (place) =>
      place.region === server.region && place.availabilityZones.includes(server.availabilityZone),
  );
  if (isKnown) {
    return [];
  }
  const reason =
    `no place holds availability zone "${server.availabilityZone}" ` +
    `of region "${server.region}", so that nothing could run here`;
  return [{ path: ['backend_servers', server.name, 'availability_zone'], reason }];
}

function checkKinds(server: BackendServer, configuration: Configuration): ConfigurationFault[] {
  const kinds = configuration.services
    .filter(({ name }) => server.services.includes(name))
    .map(({ kind }) => kind);
  if (new Set(kinds).size <= 1) {
    return [];
  }
  const reason = 'names both model and plain services; a backend server serves only one kind';
  return [{ path: ['backend_servers', server.name, 'services'], reason }];
}

function listSharedUrls(servers: readonly BackendServer[]): readonly ConfigurationFault[] {
  const firstByUrl = new Map<string, string>();
  return servers.flatMap(({ name, url }) => {
    const first = firstByUrl.get(url);
    if (first === undefined) {
      firstByUrl.set(url, name);
      return [];
    }
    const reason = `is also the URL of "${first}", so that its slots would count twice`;
    return [{ path: ['backend_servers', name, 'url'], reason }];
  });
}

/**
 * Lists backend servers outside all places, with unknown or mixed services, or with a shared URL.
 */
export function listServerFaults(configuration: Configuration): readonly ConfigurationFault[] {
  const known = buildNameSet(configuration.services);
  const faults = configuration.backendServers.flatMap((server) => [
    ...checkZone(server, configuration),
    ...listUnknownNames(
      ['backend_servers', server.name, 'services'],
      'service',
      server.services,
      known,
    ),
    ...checkKinds(server, configuration),
  ]);
  return [...faults, ...listSharedUrls(configuration.backendServers)];
}
