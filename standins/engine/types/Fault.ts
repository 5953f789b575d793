/** Faults of a stand-in engine, injected by tests. */
export const FaultKind = {
  /** Nothing is sent or answered; connections stay open, and new ones are accepted. */
  Freeze: 'freeze',
  Unfreeze: 'unfreeze',
  /** Token generation pauses; other requests are still answered. */
  FreezeStreams: 'freeze-streams',
  /** Connections are destroyed; the engine continues to generate. */
  Cut: 'cut',
  /** The current token's event is sent in part, and its connection destroyed. */
  CutMidEvent: 'cut-mid-event',
  /** All state is lost, and connections are refused. */
  Kill: 'kill',
  Leave: 'leave',
} as const;

/** One of the faults. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** A fault that is injected once, when a stream reaches a point. */
export interface PlannedFault {
  readonly fault: FaultKind;
  /** During the prefill, or after so many tokens of the generation. */
  readonly at: 'prefill' | number;
  /** Start of the stream's id; empty means any stream. */
  readonly streamId: string;
}
