import { OWN_POLICY } from '../createBenchEntry';
import type { PolicyName } from '../createBenchEntry';
import { PhaseFault } from '../../types';
import type { Phase } from '../../types';

/** Phases that only the router under test runs: its goals compare them with 130% load. */
const OWN_POLICY_PHASES: readonly string[] = ['idle', 'load-100'];

/**
 * Lists the phases of a policy. The idle phase is second, so that it excludes the cold start of the
 * processes; the loss of an engine is last, because the engine is not restarted.
 */
export function listPhases(policy: PolicyName): readonly Phase[] {
  const phases: readonly Phase[] = [
    { name: 'load-50', longLoad: 0.5, fault: PhaseFault.None },
    { name: 'idle', longLoad: 0, fault: PhaseFault.None },
    { name: 'load-90', longLoad: 0.9, fault: PhaseFault.None },
    { name: 'load-100', longLoad: 1, fault: PhaseFault.None },
    { name: 'load-130', longLoad: 1.3, fault: PhaseFault.None },
    { name: 'engine-slow', longLoad: 0.9, fault: PhaseFault.Slow },
    { name: 'engine-lost', longLoad: 0.9, fault: PhaseFault.Lost },
  ];
  return phases.filter(({ name }) => policy === OWN_POLICY || !OWN_POLICY_PHASES.includes(name));
}
