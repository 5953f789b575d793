/** Where the demo writes; one call may hold part of a line. */
export type DemoOutput = (text: string) => void;

/** What the demo is to do. */
export interface DemoOptions {
  /** Folder with the configuration to apply. */
  readonly configurationFolder: string;
  /** File whose text is sent for review. */
  readonly dossierFile: string;
  /** Length of the answer. */
  readonly tokens: number;
  /** The engine is killed when the caller has so many tokens. */
  readonly killAt: number;
  readonly firstTokenMs: number;
  readonly gapMs: number;
}

/** What the caller's stream shows. */
export interface DemoReport {
  readonly ok: boolean;
  readonly tokens: number;
  readonly missing: number;
  readonly repeated: number;
  readonly mixed: number;
  /** Times that another attempt went on with the answer. */
  readonly resumes: number;
  /** From the kill to the first token of the attempt that went on, in milliseconds. */
  readonly resumeMs: number;
}
