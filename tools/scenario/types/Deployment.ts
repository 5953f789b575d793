import type { Child } from './Child';

/** A deployment of real processes on 127.0.0.1. */
export interface Deployment {
  /** Starts all processes, applies the configuration and resolves once each process listens. */
  start(): Promise<void>;
  /** Latest process of each name (`entry-1`, `engine-1`, `keeper-1`, `platform`), even if ended. */
  readonly children: Map<string, Child>;
  /** All processes ever started, oldest first. */
  readonly started: readonly Child[];
  /** Returns the base URL of a process: of an entry, the one for callers. */
  readUrl(name: string): string;
  /** Reads JSON from a stand-in's control interface. */
  readControl(name: string, path: string): Promise<unknown>;
  /** Sets faults that a stand-in injects. */
  setFaults(name: string, path: string, faults: Readonly<Record<string, unknown>>): Promise<void>;
  /** Runs the operator's binary. */
  runJackdaw(args: readonly string[]): Promise<{ readonly code: number; readonly output: string }>;
  /** Writes a configuration folder: the deployment's own with `changes` merged over it. */
  writeConfiguration(name: string, changes: Readonly<Record<string, unknown>>): Promise<string>;
  /** Kills all processes and removes the deployment's folder. */
  stop(): Promise<void>;
}
