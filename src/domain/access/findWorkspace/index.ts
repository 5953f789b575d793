import type { Workspace } from '../../types';
import { computeKeyDigest } from '../computeKeyDigest';

/**
 * Finds the workspace that a bearer key belongs to.
 *
 * Only digests are compared: a caller that could measure the comparison learns of a digest that it
 * cannot choose, not of the key.
 *
 * @param workspaces - all workspaces of the configuration in force
 * @param key - the bearer key; an empty one belongs to no workspace
 */
export const findWorkspace = (workspaces: readonly Workspace[], key: string): Workspace | null => {
  if (key === '') return null;
  const digest = computeKeyDigest(key);
  return workspaces.find((workspace) => workspace.keyDigests.includes(digest)) ?? null;
};
