/** Streams of one kind that begin in each second. */
export interface PlayedKind {
  readonly name: string;
  readonly priority: number;
  readonly goalMs: number;
  readonly perS: (second: number) => number;
  /** Draws the workspace of a stream from a number from 0 to 1. */
  readonly chooseWorkspace: (draw: number) => string;
}

/** A load on the engines of one service. */
export interface PlayedLoad {
  readonly seed: number;
  readonly engines: number;
  readonly seconds: number;
  readonly kinds: readonly PlayedKind[];
  /** Engines that are down, by second. */
  readonly outage?: { readonly count: number; readonly fromS: number; readonly untilS: number };
}

/** What became of a stream. */
export interface PlayedStream {
  readonly kind: string;
  readonly workspace: string;
  readonly calledAtMs: number;
  firstEventMs: number | null;
  endedMs: number | null;
  /** Time of the last refusal, and whether the caller was told at once. */
  refusedAfterMs: number | null;
  refusals: number;
}

/** Results of a load. */
export interface PlayedResult {
  readonly streams: readonly PlayedStream[];
  readonly prefilledTokens: number;
  readonly decisionMs: readonly number[];
}
