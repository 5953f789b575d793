/** How fast a server works at present. */
export interface ServerPace {
  /** Prefill time of one prompt token, in milliseconds; 0 while unknown. */
  readonly prefillMsPerToken: number;
  /** Time of one output token without interference from prefills, in milliseconds; 0: unknown. */
  readonly decodeMsPerToken: number;
  /** Time of one call, in milliseconds; 0 while unknown. */
  readonly callMs: number;
  /** How long work takes now relative to what is usual on this server; 1 as usual. */
  readonly workFactor: number;
}
