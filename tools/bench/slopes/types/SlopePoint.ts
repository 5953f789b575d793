/** Resource usage of the measured entry and of the keeper on its VM at one size. */
export interface SlopePoint {
  readonly size: number;
  /** Processor time, in percent of one core. */
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly heapMb: number;
  /** The same for the keeper on the entry's VM. */
  readonly keeperCpuPercent: number;
  readonly keeperResidentMb: number;
  /** Reads of the platform's table by all processes, per second. */
  readonly tableReadsPerS: number;
  readonly tableWritesPerS: number;
}
