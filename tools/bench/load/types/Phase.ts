/** Faults of a phase. */
export const PhaseFault = { None: 'none', Lost: 'lost', Slow: 'slow' } as const;

/** One of the faults. */
export type PhaseFault = (typeof PhaseFault)[keyof typeof PhaseFault];

/** A part of the run with one load. */
export interface Phase {
  readonly name: string;
  /** Offered long work as a part of what the deployment's slots for long work can serve. */
  readonly longLoad: number;
  readonly fault: PhaseFault;
}
