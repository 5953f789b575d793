import type { Configuration, PlacementRule, Workspace } from '../../../types';

/** Tells whether a rule covers a workspace's use of a service. */
export function isCovered(rule: PlacementRule, workspace: string, service: string): boolean {
  const coversWorkspace = rule.workspaces.length === 0 || rule.workspaces.includes(workspace);
  const coversService = rule.services.length === 0 || rule.services.includes(service);
  return coversWorkspace && coversService;
}

/** Lists the places left to a workspace for a service after every rule. */
export function listAllowedPlaces(
  configuration: Configuration,
  workspace: Workspace,
  service: string,
): readonly string[] {
  const rules = configuration.placementRules.filter((rule) =>
    isCovered(rule, workspace.name, service),
  );
  return workspace.places.filter((place) => rules.every((rule) => rule.places.includes(place)));
}
