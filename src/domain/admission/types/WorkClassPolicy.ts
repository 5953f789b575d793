/** Room of one backend server for a class of work. */
export interface ServerSlots {
  readonly slots: number;
  /** Slots kept for lookups; 0 on a server that serves none. */
  readonly reservedSlots: number;
}

/** How a class of work is admitted. */
export interface WorkClassPolicy {
  /** Priority at the engines; higher is served first. */
  readonly enginePriority: number;
  /** Place of the class in a queue; lower is served first. */
  readonly queueRank: number;
  /** Requests at a server, of all classes, below which one of this class may still be sent. */
  readonly computeLimit: (room: ServerSlots) => number;
  /** True: engines serve it before the other classes that wait there. */
  readonly isServedFirst: boolean;
}
