import type { ChildProcess } from 'node:child_process';

/** A child process of the scenario runner. */
export interface Child {
  readonly name: string;
  readonly availabilityZone: string;
  readonly process: ChildProcess;
  /** Lines of its standard output and standard error, in order of arrival. */
  readonly lines: readonly string[];
  /** Returns the exit code or the signal that ended the process, or null while it runs. */
  readonly readExitStatus: () => string | null;
  /** Starts the program again as a new process with the same settings. */
  readonly restart: () => Promise<void>;
}
