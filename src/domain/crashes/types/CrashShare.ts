import type { CrashedServer } from './CrashedServer';
import type { RunOutcome } from './RunOutcome';

/** A prompt part under which servers crashed. */
export interface CrashSuspect {
  readonly fingerprint: string;
  /** Crashed servers that ran it. */
  readonly servers: number;
  /** Complete runs with it. */
  readonly answers: number;
}

/** What is known of a prompt part, and of what else may account for its crashes. */
export interface CrashShareEvidence {
  readonly suspect: CrashSuspect;
  /** Confirmed crashes under the part. */
  readonly crashes: readonly RunOutcome[];
  /** Other parts that ran on crashed servers. */
  readonly others: readonly CrashSuspect[];
  /** All servers that crashed since the first crash under the part. */
  readonly servers: readonly CrashedServer[];
  /** Complete runs without the part. */
  readonly otherAnswers: number;
  /** Time that runs with the part which no crash ended spent at servers, in milliseconds. */
  readonly runMs: number;
  /** The same without the part. */
  readonly otherRunMs: number;
  /** Fingerprints of the parts that are held responsible for their share of crashes already. */
  readonly held: ReadonlySet<string>;
}

/** What decided whether a part is responsible for its share of crashes. */
export type CrashShareReason =
  /** Too few servers accuse it. */
  | 'accusations'
  /** Its share of crashes is near that of runs without it. */
  | 'share'
  /** Chance explains on which of the crashed servers it ran. */
  | 'chance'
  /** It is responsible, and was so before. */
  | 'held'
  /** It is responsible, and was not before. */
  | 'found';

/** Whether a part is responsible, and on what evidence. */
export interface CrashShareVerdict {
  readonly isResponsible: boolean;
  readonly reason: CrashShareReason;
  /** Crashed servers that accuse it. */
  readonly accusing: number;
  /** Runs without it whose servers crashed, and no other part accounts for that (`countLostRuns`). */
  readonly otherCrashes: number;
  /** Servers that lost these runs, together or one after the other. */
  readonly otherServers: number;
}
