/** What breaks the generations. */
export const BreakKind = {
  /** An engine dies; its connections close. */
  Kill: 'kill',
  /** An engine stops without a word; its connections stay. */
  Freeze: 'freeze',
  /** All engines and entries of an availability zone die at once. */
  Zone: 'zone',
} as const;

/** One of the kinds. */
export type BreakKind = (typeof BreakKind)[keyof typeof BreakKind];
