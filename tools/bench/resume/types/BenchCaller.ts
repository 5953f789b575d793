import type { ChainReport } from '../../../../standins/chain';

/** How a caller's generation ended. */
export interface CallerResult {
  /** False: it ended with an error, or without its last token. */
  readonly isComplete: boolean;
  /** Why it is not whole, or empty. */
  readonly reason: string;
  readonly breaks: number;
  readonly chain: ChainReport;
  /** Times from each break to the answer continuing, in milliseconds. */
  readonly resumeMs: readonly number[];
  /** Times between tokens while nothing was broken, in milliseconds. */
  readonly gapsMs: readonly number[];
}

/** A caller whose generation runs. */
export interface BenchCaller {
  /** Start of the ids of its streams at the engines; empty until it is known. */
  readStreamPrefix(): string;
  /** Base URL of what it is connected to. */
  readUrl(): string;
  /** Notes that what serves it broke now. */
  recordBreak(): void;
  /** Resolves with true at `count` tokens, or with false if it ends before. */
  waitForTokens(count: number): Promise<boolean>;
  readonly result: Promise<CallerResult>;
}

/** What a caller asks for. */
export interface CallerRequest {
  readonly body: Readonly<Record<string, unknown>>;
  /** Model as the engines know it. */
  readonly model: string;
  /** Length of the answer. */
  readonly tokens: number;
  /** Base URLs of entries or engines, in the order in which it tries them. */
  readonly urls: readonly string[];
}
