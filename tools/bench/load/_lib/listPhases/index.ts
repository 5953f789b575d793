import { OWN_POLICY } from '../createBenchEntry';
import type { PolicyName } from '../createBenchEntry';
import { PhaseFault } from '../../types';
import type { Phase } from '../../types';

/** Only the router itself needs these two: its goals compare them with 130%. */
const OWN_PHASES: readonly string[] = ['idle', 'load-100'];

/**
 * Lists the phases of a policy. The idle system comes second, so that the cold start of the
 * processes does not count for it; the engine is lost last, because it does not come back.
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
  return phases.filter(({ name }) => policy === OWN_POLICY || !OWN_PHASES.includes(name));
}
