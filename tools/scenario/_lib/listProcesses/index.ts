import type { Scenario } from '../../types';

/** Kinds of processes of a deployment. */
export const ProcessKind = {
  Engine: 'engine',
  Billing: 'billing',
  Register: 'register',
  Entry: 'entry',
  Keeper: 'keeper',
} as const;

/** One of the kinds. */
export type ProcessKind = (typeof ProcessKind)[keyof typeof ProcessKind];

/** A process to start. */
export interface PlannedProcess {
  readonly name: string;
  readonly kind: ProcessKind;
  readonly availabilityZone: string;
}

/** Lists `count` processes of one kind, distributed round-robin over the zones. */
export function listProcesses(
  kind: ProcessKind,
  count: number,
  { deployment }: Scenario,
): readonly PlannedProcess[] {
  return Array.from({ length: count }, (_value, index) => ({
    name: `${kind}-${index + 1}`,
    kind,
    availabilityZone: deployment.zones[index % deployment.zones.length] ?? '',
  }));
}
