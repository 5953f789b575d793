import type { ChildProcess } from 'node:child_process';

/** A process that the runner started. */
export interface Child {
  readonly name: string;
  readonly availabilityZone: string;
  readonly process: ChildProcess;
  /** Lines of its standard output. */
  readonly lines: readonly string[];
  /** Exit code or signal, or null while it runs. */
  readonly readExitStatus: () => string | null;
  /** Starts the program again as a new process with the same settings. */
  readonly restart: () => Promise<void>;
}
