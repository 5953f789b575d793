import type { ChainReport } from '../../../../standins/chain';

/** How a caller's generation ended. */
export interface CallerResult {
  /** False if the generation ended with an error or without its last token. */
  readonly isComplete: boolean;
  /** Why the generation is not complete; empty if it is. */
  readonly reason: string;
  readonly breaks: number;
  readonly chain: ChainReport;
  /** Time from each break until the answer continued, in milliseconds. */
  readonly resumeMs: readonly number[];
  /** Times between tokens while nothing was broken, in milliseconds. */
  readonly gapsMs: readonly number[];
}

/** A caller with a running generation. */
export interface BenchCaller {
  /** Returns the common prefix of its stream ids at the engines; empty until it is known. */
  readStreamPrefix(): string;
  /** Returns the base URL of the entry or engine that the caller is connected to. */
  readUrl(): string;
  /** Records that the entry or engine that serves the caller fails now. */
  recordBreak(): void;
  /** Resolves with true at `count` tokens, or with false if the generation ends before. */
  waitForTokens(count: number): Promise<boolean>;
  readonly result: Promise<CallerResult>;
}

/** Request of a caller. */
export interface CallerRequest {
  readonly body: Readonly<Record<string, unknown>>;
  /** Model as the engines know it. */
  readonly model: string;
  /** Length of the answer. */
  readonly tokens: number;
  /** Base URLs of entries or engines, in the order in which the caller tries them. */
  readonly urls: readonly string[];
}
