/** What one process used at one size. */
export interface SlopePoint {
  readonly size: number;
  /** Processor time, in percent of one core. */
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly heapMb: number;
  /** Reads of the platform's table by all processes, per second. */
  readonly tableReadsPerS: number;
  readonly tableWritesPerS: number;
}
