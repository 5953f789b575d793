/** Fault that breaks the generations. */
export const BreakKind = {
  /** An engine is killed; its connections close. */
  Kill: 'kill',
  /** An engine freezes; its connections stay open without data. */
  Freeze: 'freeze',
  /** All engines and entries of an availability zone are killed at once. */
  Zone: 'zone',
} as const;

/** One of the kinds. */
export type BreakKind = (typeof BreakKind)[keyof typeof BreakKind];
