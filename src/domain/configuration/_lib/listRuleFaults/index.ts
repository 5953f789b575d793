import type { Configuration } from '../../../types';
import type { ConfigurationFault } from '../../types';
import { buildNameSet, listUnknownNames } from '../listUnknownNames';

/** Lists placement rules that name unknown workspaces, services or places. */
export function listRuleFaults(configuration: Configuration): readonly ConfigurationFault[] {
  const workspaces = buildNameSet(configuration.workspaces);
  const services = buildNameSet(configuration.services);
  const places = buildNameSet(configuration.places);
  return configuration.placementRules.flatMap((rule) => {
    const path = ['placement_rules', rule.name];
    return [
      ...listUnknownNames([...path, 'workspaces'], 'workspace', rule.workspaces, workspaces),
      ...listUnknownNames([...path, 'services'], 'service', rule.services, services),
      ...listUnknownNames([...path, 'places'], 'place', rule.places, places),
    ];
  });
}
