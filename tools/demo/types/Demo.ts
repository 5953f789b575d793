/** Writes a piece of the demo's output, which may be a part of a line. */
export type DemoOutput = (text: string) => void;

/** Options of the demo. */
export interface DemoOptions {
  /** Folder with the configuration to apply. */
  readonly configurationFolder: string;
  /** File whose text is sent for review. */
  readonly dossierFile: string;
  /** Length of the answer in tokens. */
  readonly tokens: number;
  /** The engine is killed when the caller has received this number of tokens. */
  readonly killAt: number;
  readonly firstTokenMs: number;
  readonly gapMs: number;
}

/** Result of the demo, taken from the caller's stream. */
export interface DemoReport {
  readonly ok: boolean;
  readonly tokens: number;
  readonly missing: number;
  readonly repeated: number;
  readonly mixed: number;
  /** Number of attempts that resumed the answer. */
  readonly resumes: number;
  /** Time from the kill to the first token of the resumed attempt, in milliseconds. */
  readonly resumeMs: number;
}
