import type { GenerationRun } from '../../types';

/** Runs held by this VM. */
export interface RunStore {
  /** Adds a run. An older run of the same generation continues only for its attached callers. */
  add(run: GenerationRun, keyDigest?: string): void;
  find(workspace: string, generationId: string): GenerationRun | null;
  findByKey(workspace: string, keyDigest: string): GenerationRun | null;
  remove(run: GenerationRun): void;
  list(): readonly GenerationRun[];
}

const buildIndexKey = (workspace: string, id: string): string => `${workspace}#${id}`;

/**
 * Creates an empty store.
 *
 * @returns Store in memory.
 */
export const createRunStore = (): RunStore => {
  const keysByRun = new Map<GenerationRun, readonly string[]>();
  const index = new Map<string, GenerationRun>();

  return {
    add: (run, keyDigest) => {
      const indexKeys = [buildIndexKey(run.workspace, run.generationId)];
      if (keyDigest) indexKeys.push(buildIndexKey(run.workspace, keyDigest));
      const replaced = index.get(buildIndexKey(run.workspace, run.generationId));
      keysByRun.set(run, indexKeys);
      indexKeys.forEach((key) => index.set(key, run));
      if (replaced && replaced !== run && replaced.readState().callers === 0) {
        replaced.dispatch({ kind: 'abandoned', reason: 'expired' });
      }
    },
    find: (workspace, generationId) => index.get(buildIndexKey(workspace, generationId)) ?? null,
    findByKey: (workspace, keyDigest) => index.get(buildIndexKey(workspace, keyDigest)) ?? null,
    remove: (run) => {
      keysByRun.get(run)?.forEach((key) => {
        if (index.get(key) === run) index.delete(key);
      });
      keysByRun.delete(run);
    },
    list: () => [...keysByRun.keys()],
  };
};
