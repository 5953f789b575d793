/** How well a backend server has served of late, as this VM saw it. */
export interface ServerQuality {
  /** Moving average of failed attempts, 0 to 1. */
  readonly failures: number;
  /** Moving average of its speed relative to comparable servers; 1 is usual. */
  readonly speed: number;
  /** Monotonic time until which it gets no work, in milliseconds; 0 if it is not ejected. */
  readonly ejectedUntilMs: number;
  /** Ejections in a row; each lasts longer than the one before. */
  readonly ejections: number;
}

/** A server of which nothing bad is known. */
export const INITIAL_QUALITY: ServerQuality = {
  failures: 0,
  speed: 1,
  ejectedUntilMs: 0,
  ejections: 0,
};
