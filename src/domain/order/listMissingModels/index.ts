import type { LoadedModel } from '../../types';

/**
 * Lists the models of one set that another set lacks.
 *
 * @param wanted - models to look for
 * @param held - models to look in
 */
export function listMissingModels(
  wanted: readonly LoadedModel[],
  held: readonly LoadedModel[],
): readonly LoadedModel[] {
  return wanted.filter(
    ({ model, version, adapter }) =>
      !held.some(
        (other) => other.model === model && other.version === version && other.adapter === adapter,
      ),
  );
}
