/** Fault of an engine during a phase. */
export const PhaseFault = { None: 'none', Lost: 'lost', Slow: 'slow' } as const;

/** One of the faults. */
export type PhaseFault = (typeof PhaseFault)[keyof typeof PhaseFault];

/** A phase of the run, with constant load. */
export interface Phase {
  readonly name: string;
  /** Offered long work relative to the capacity of the deployment's slots for long work. */
  readonly longLoad: number;
  readonly fault: PhaseFault;
}
