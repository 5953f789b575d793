import { err, ok, type Result } from 'neverthrow';
import { findWorkspace } from '../../../domain/access';
import type { Configuration, Workspace } from '../../../domain/types';
import type { ConfigurationView } from '../../ports';

/** A caller whose bearer key belongs to a workspace. */
export interface Caller {
  readonly configuration: Configuration;
  readonly workspace: Workspace;
}

/** Reason why a caller is refused. */
export type CallerRefusal = { readonly kind: 'no-configuration' } | { readonly kind: 'bad-bearer' };

/**
 * Checks the bearer key of a caller against the configuration in force.
 *
 * @param authorization - value of the `Authorization` header
 * @returns the workspace with the configuration for the rest of the request, so that one request
 * never uses two versions
 */
export const checkCaller = (
  view: ConfigurationView,
  authorization: string | undefined,
): Result<Caller, CallerRefusal> => {
  const current = view.readCurrent();
  if (current === null) return err({ kind: 'no-configuration' });
  const key = /^Bearer +(\S+) *$/i.exec(authorization ?? '')?.[1] ?? '';
  const workspace = findWorkspace(current.configuration.workspaces, key);
  if (workspace === null) return err({ kind: 'bad-bearer' });
  return ok({ configuration: current.configuration, workspace });
};
