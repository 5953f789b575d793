import { err, ok, type Result } from 'neverthrow';
import type { Configuration, Service, ServiceKind, Workspace } from '../../types';

/** Why a workspace may not use a service. */
export type AccessError =
  | { readonly kind: 'unknown-service'; readonly service: string }
  | { readonly kind: 'service-not-allowed'; readonly service: string };

/**
 * Checks that a workspace may use a service of the expected kind.
 *
 * Does not check whether an allowed place has a ready server; routing does.
 *
 * @returns the service; `unknown-service` also if the service is of the other kind
 */
export const checkServiceAccess = (
  configuration: Configuration,
  workspace: Workspace,
  demand: { readonly service: string; readonly kind: ServiceKind },
): Result<Service, AccessError> => {
  const found = configuration.services.find((service) => service.name === demand.service);
  if (found?.kind !== demand.kind) return err({ kind: 'unknown-service', service: demand.service });
  if (!workspace.services.includes(found.name)) {
    return err({ kind: 'service-not-allowed', service: found.name });
  }
  return ok(found);
};
