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

/** A process to be started. */
export interface PlannedProcess {
  readonly name: string;
  readonly kind: ProcessKind;
  readonly availabilityZone: string;
}

/** Lists so many processes of one kind, spread over the zones in turn. */
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
