/** A named set of availability zones in which work may wait and run. */
export interface Place {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
}
