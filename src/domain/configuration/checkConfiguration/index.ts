import type { Configuration } from '../../types';
import { listEngineTargetFaults } from '../_lib/listEngineTargetFaults';
import { listPlaceFaults } from '../_lib/listPlaceFaults';
import { listRuleFaults } from '../_lib/listRuleFaults';
import { listServerFaults } from '../_lib/listServerFaults';
import { listServiceFaults } from '../_lib/listServiceFaults';
import { listWorkspaceFaults } from '../_lib/listWorkspaceFaults';
import type { ConfigurationFault } from '../types';

/** Checks by part of the configuration, in the order in which operators read it. */
const CHECKS = [
  listPlaceFaults,
  listServiceFaults,
  listServerFaults,
  listWorkspaceFaults,
  listRuleFaults,
  listEngineTargetFaults,
] as const;

/**
 * Checks the parts of a configuration against each other: references, placement, key digests.
 *
 * @returns every fault found; empty if there is none
 */
export function checkConfiguration(configuration: Configuration): readonly ConfigurationFault[] {
  return CHECKS.flatMap((listFaults) => listFaults(configuration));
}
