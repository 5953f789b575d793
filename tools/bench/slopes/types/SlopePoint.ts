/** What the measured entry and the keeper beside it used at one size. */
export interface SlopePoint {
  readonly size: number;
  /** Processor time, in percent of one core. */
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly heapMb: number;
  /** The same of the keeper that runs beside the entry. */
  readonly keeperCpuPercent: number;
  readonly keeperResidentMb: number;
  /** Reads of the platform's table by all processes, per second. */
  readonly tableReadsPerS: number;
  readonly tableWritesPerS: number;
}
