/** A named location: the availability zones in which work may be held and run. */
export interface Place {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
}
