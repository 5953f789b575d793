/** Recent quality of a backend server as measured by this VM. */
export interface ServerQuality {
  /** Moving average of the failure rate, 0 to 1. */
  readonly failures: number;
  /** Moving average of the speed relative to comparable servers; 1 is normal. */
  readonly speed: number;
  /**
   * Monotonic time until which the server gets no work, in milliseconds; 0 if it is not ejected.
   */
  readonly ejectedUntilMs: number;
  /** Ejections in a row; each one lasts longer. */
  readonly ejections: number;
}

/** Quality of a server without observations. */
export const INITIAL_QUALITY: ServerQuality = {
  failures: 0,
  speed: 1,
  ejectedUntilMs: 0,
  ejections: 0,
};
