import type { BreakKind } from './BreakKind';

/** Percentiles in milliseconds. */
export interface LatencySummary {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Figures of one scenario. */
export interface ScenarioReport {
  readonly scenario: BreakKind;
  /** Survival mode, or `baseline`. */
  readonly mode: string;
  /** Generations that were broken at least once. */
  readonly generations: number;
  /** All generations, broken or not. */
  readonly started: number;
  readonly lost: number;
  readonly missing: number;
  readonly repeated: number;
  readonly mixed: number;
  readonly resumeMs: LatencySummary;
  /** Gaps between tokens of unbroken streams; they show how busy the machine was. */
  readonly gapMs: LatencySummary;
  /** Tokens of broken generations that were generated but not delivered, per delivered token. */
  readonly extraTokensRatio: number;
  /** Number of lost generations by reason. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** Report that the bench prints as its last line. */
export interface ResumeReport {
  readonly generations: number;
  readonly started: number;
  readonly lost: number;
  readonly missing: number;
  readonly repeated: number;
  readonly mixed: number;
  readonly resumeMs: LatencySummary;
  readonly extraTokensRatio: number;
  readonly baseline: {
    readonly resumeMs: LatencySummary;
    readonly extraTokensRatio: number;
  };
  readonly scenarios: readonly ScenarioReport[];
}
