/** Why a VM refuses requests that other VMs may take. */
export const OverloadCause = {
  Memory: 'memory',
  LoopDelay: 'loop-delay',
} as const;

/** Why a VM refuses requests that other VMs may take. */
export type OverloadCause = (typeof OverloadCause)[keyof typeof OverloadCause];
