/** Slots of one backend server. */
export interface ServerSlots {
  readonly slots: number;
  /** Slots reserved for lookups; 0 on a server that serves no lookups. */
  readonly reservedSlots: number;
}

/** Admission rules of a class of work. */
export interface WorkClassPolicy {
  /** Priority at the engines; higher values are served first. */
  readonly enginePriority: number;
  /** Rank of the class in a queue; lower values are served first. */
  readonly queueRank: number;
  /** Requests of all classes at a server below which a request of this class may be sent. */
  readonly computeLimit: (server: ServerSlots) => number;
  /** True: engines serve the class before all other classes that wait at the engine. */
  readonly isServedFirst: boolean;
}
