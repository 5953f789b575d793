import type { EngineTarget, LoadedModel } from '../../types';
import { listMissingModels } from '../listMissingModels';
import type { EngineState } from '../types';

function listDesiredVersions(
  target: EngineTarget | undefined,
  model: string,
): readonly LoadedModel[] {
  return (target?.models ?? []).filter((item) => item.model === model);
}

/**
 * Checks whether a loaded model may be unloaded because its replacement is being served.
 *
 * The replacement is the version or adapter of the model in the target of the same engine. If that
 * target does not contain the model, the replacement is the one in the targets of other engines:
 * all of these engines that are serving, and at least one, must have loaded it. A model in no
 * target needs no replacement.
 *
 * @param surplus - the loaded model
 * @param backendServer - the engine that has the model loaded
 * @param targets - the desired state of all engines
 * @param engines - the actual state of all engines, by name
 */
export function isModelReplaced(
  surplus: LoadedModel,
  backendServer: string,
  targets: readonly EngineTarget[],
  engines: ReadonlyMap<string, EngineState>,
): boolean {
  const hasLoaded = (target: EngineTarget): boolean => {
    const loaded = engines.get(target.backendServer)?.models ?? [];
    return listMissingModels(listDesiredVersions(target, surplus.model), loaded).length === 0;
  };
  const successors = targets.filter(
    (target) => listDesiredVersions(target, surplus.model).length > 0,
  );
  if (successors.length === 0) return true;
  const own = successors.find((target) => target.backendServer === backendServer);
  if (own !== undefined) return hasLoaded(own);
  const serving = successors.filter((target) => engines.get(target.backendServer)?.serving);
  return serving.length > 0 && serving.every(hasLoaded);
}
