/** Faults of a stand-in engine; each is switched by the test. */
export const FaultKind = {
  /** Nothing is emitted or answered; connections stay, and new ones are taken. */
  Freeze: 'freeze',
  Unfreeze: 'unfreeze',
  /** Tokens stop, while the other requests are answered as before. */
  FreezeStreams: 'freeze-streams',
  /** Connections are destroyed; the engine goes on generating. */
  Cut: 'cut',
  /** The event of the token at hand is cut in the middle, and its connection destroyed. */
  CutMidEvent: 'cut-mid-event',
  /** Everything is lost, and connections are refused. */
  Kill: 'kill',
  Leave: 'leave',
} as const;

/** One of the faults. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** A fault that strikes once, when a stream reaches a point. */
export interface PlannedFault {
  readonly fault: FaultKind;
  /** During the prefill, or after so many tokens of the generation. */
  readonly at: 'prefill' | number;
  /** Start of the stream's id; empty means any stream. */
  readonly streamId: string;
}
