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

const joinKey = (workspace: string, part: string): string => `${workspace}#${part}`;

/**
 * Creates an empty store.
 *
 * @returns Store in memory.
 */
export const createRunStore = (): RunStore => {
  const all = new Map<GenerationRun, readonly string[]>();
  const index = new Map<string, GenerationRun>();

  return {
    add: (run, keyDigest) => {
      const names = [joinKey(run.workspace, run.generationId)];
      if (keyDigest) names.push(joinKey(run.workspace, keyDigest));
      const replaced = index.get(joinKey(run.workspace, run.generationId));
      all.set(run, names);
      names.forEach((name) => index.set(name, run));
      if (replaced && replaced !== run && replaced.readState().callers === 0) {
        replaced.dispatch({ kind: 'abandoned', reason: 'expired' });
      }
    },
    find: (workspace, generationId) => index.get(joinKey(workspace, generationId)) ?? null,
    findByKey: (workspace, keyDigest) => index.get(joinKey(workspace, keyDigest)) ?? null,
    remove: (run) => {
      all.get(run)?.forEach((name) => {
        if (index.get(name) === run) index.delete(name);
      });
      all.delete(run);
    },
    list: () => [...all.keys()],
  };
};
