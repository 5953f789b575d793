/**
 * When a replacement attempt starts: as soon as a failure is suspected (`latency`), or only
 * when the failure is confirmed (`thrift`).
 */
export const SurvivalMode = { Latency: 'latency', Thrift: 'thrift' } as const;

/** One of the survival modes. */
export type SurvivalMode = (typeof SurvivalMode)[keyof typeof SurvivalMode];
