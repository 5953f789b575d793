import type { Workspace } from '../../types';
import { computeKeyDigest } from '../computeKeyDigest';

/**
 * Finds the workspace to which a bearer key belongs.
 *
 * Only digests are compared, so a timing attack reveals parts of a digest that the caller cannot
 * choose, and nothing about the key.
 *
 * @param workspaces - all workspaces of the active configuration
 * @param key - bearer key; an empty key belongs to no workspace
 * @returns the workspace, or null if there is none
 */
export const findWorkspace = (workspaces: readonly Workspace[], key: string): Workspace | null => {
  if (key === '') return null;
  const digest = computeKeyDigest(key);
  return workspaces.find((workspace) => workspace.keyDigests.includes(digest)) ?? null;
};
