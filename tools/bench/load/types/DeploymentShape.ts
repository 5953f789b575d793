/** Backend servers of one kind, with the settings of their stand-in engines (in scaled time). */
export interface ServerGroup {
  readonly prefix: string;
  readonly count: number;
  readonly services: readonly string[];
  readonly slots: number;
  readonly firstTokenMs: number;
  readonly gapMs: number;
}

/** Sizes of a deployment as specified by its users, with time scaled down. */
export interface DeploymentShape {
  readonly name: string;
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly longService: string;
  readonly lookupService: string;
  readonly long: ServerGroup;
  readonly lookup: ServerGroup;
  /** Round trip between two availability zones, in milliseconds. */
  readonly zoneRoundTripMs: number;
  /** Round trip between a client and its nearest availability zone, in milliseconds. */
  readonly clientRoundTripMs: number;
}
