/** Number of VMs that could currently receive a configuration change. */
export interface TableReaders {
  /** Entry VMs listed by the platform. */
  readonly vmsListed: number;
  /** Listed VMs that respond and have read the table recently. */
  readonly vmsReading: number;
}
