import type { Configuration, PlacementRule, Workspace } from '../../../types';

/** Checks whether a rule applies to the use of a service by a workspace. */
export function isCovered(rule: PlacementRule, workspace: string, service: string): boolean {
  const coversWorkspace = rule.workspaces.length === 0 || rule.workspaces.includes(workspace);
  const coversService = rule.services.length === 0 || rule.services.includes(service);
  return coversWorkspace && coversService;
}

/** Lists the places in which all rules allow a workspace to use a service. */
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
