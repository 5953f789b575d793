import type { EngineTarget, LoadedModel } from '../../types';
import { listMissingModels } from '../listMissingModels';
import type { EngineState } from '../types';

function listDesired(target: EngineTarget | undefined, model: string): readonly LoadedModel[] {
  return (target?.models ?? []).filter((item) => item.model === model);
}

/**
 * Tells whether a loaded model may be unloaded, because what replaces it serves.
 *
 * Its replacement is what the same engine is to hold of the same model (another version or
 * adapter), else what the other engines are to hold of it: then every one of them that serves must
 * have loaded it, and at least one. A model that no engine is to hold needs no replacement.
 *
 * @param surplus - the loaded model
 * @param backendServer - the engine that holds it
 * @param targets - the desired state of all engines
 * @param engines - the actual state of all engines, by name
 */
export function isModelReplaced(
  surplus: LoadedModel,
  backendServer: string,
  targets: readonly EngineTarget[],
  engines: ReadonlyMap<string, EngineState>,
): boolean {
  const holds = (target: EngineTarget): boolean => {
    const held = engines.get(target.backendServer)?.models ?? [];
    return listMissingModels(listDesired(target, surplus.model), held).length === 0;
  };
  const successors = targets.filter((target) => listDesired(target, surplus.model).length > 0);
  if (successors.length === 0) return true;
  const own = successors.find((target) => target.backendServer === backendServer);
  if (own !== undefined) return holds(own);
  const serving = successors.filter((target) => engines.get(target.backendServer)?.serving);
  return serving.length > 0 && serving.every(holds);
}
