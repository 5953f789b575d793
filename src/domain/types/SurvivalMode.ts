/** How soon a replacement attempt starts: on suspicion, or on confirmation only. */
export const SurvivalMode = { Latency: 'latency', Thrift: 'thrift' } as const;

/** One of the survival modes. */
export type SurvivalMode = (typeof SurvivalMode)[keyof typeof SurvivalMode];
