/** Classes of work; each has its own limits, priority and failure detection. */
export const WorkClass = { Lookup: 'lookup', Long: 'long', Plain: 'plain' } as const;

/** One of the classes of work. */
export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];
