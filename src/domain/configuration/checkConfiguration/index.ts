import type { Configuration } from '../../types';
import { listEngineTargetFaults } from '../_lib/listEngineTargetFaults';
import { listPlaceFaults } from '../_lib/listPlaceFaults';
import { listRuleFaults } from '../_lib/listRuleFaults';
import { listServerFaults } from '../_lib/listServerFaults';
import { listServiceFaults } from '../_lib/listServiceFaults';
import { listWorkspaceFaults } from '../_lib/listWorkspaceFaults';
import type { ConfigurationFault } from '../types';

/** Checks for each part of the configuration, in the order in which faults are reported. */
const CHECKS = [
  listPlaceFaults,
  listServiceFaults,
  listServerFaults,
  listWorkspaceFaults,
  listRuleFaults,
  listEngineTargetFaults,
] as const;

/**
 * Checks that the parts of a configuration are consistent: references, placement, key digests.
 *
 * @returns all faults; empty if there are none
 */
export function checkConfiguration(configuration: Configuration): readonly ConfigurationFault[] {
  return CHECKS.flatMap((listFaults) => listFaults(configuration));
}
