/** How many VMs could learn of a change right now. */
export interface TableReaders {
  /** Entry VMs of the platform's list. */
  readonly vmsListed: number;
  /** Those of them that answer, and have read the table lately. */
  readonly vmsReading: number;
}
