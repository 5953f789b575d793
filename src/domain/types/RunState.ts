/** Whether a request is known to have run; sent to the caller as `Jackdaw-Run-State`. */
export const RunState = { NotRun: 'not-run', Ran: 'ran', Unknown: 'unknown' } as const;

/** One of the run states. */
export type RunState = (typeof RunState)[keyof typeof RunState];
