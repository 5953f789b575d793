import type { BackendServer } from './BackendServer';
import type { EngineTarget } from './EngineTarget';
import type { Limits } from './Limits';
import type { Place } from './Place';
import type { PlacementRule } from './PlacementRule';
import type { Service } from './Service';
import type { SurvivalMode } from './SurvivalMode';
import type { Workspace } from './Workspace';

/** A complete, validated configuration. Lists are sorted by name. */
export interface Configuration {
  readonly deployment: string;
  readonly survival: SurvivalMode;
  readonly places: readonly Place[];
  readonly services: readonly Service[];
  readonly backendServers: readonly BackendServer[];
  readonly workspaces: readonly Workspace[];
  readonly placementRules: readonly PlacementRule[];
  readonly engineTargets: readonly EngineTarget[];
  readonly limits: Limits;
}
