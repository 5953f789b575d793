import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Child, EventNotifier } from '../types';

/** Options of `startChild`. */
export interface ChildOptions {
  readonly name: string;
  readonly availabilityZone: string;
  readonly args: readonly string[];
  readonly notifier: EventNotifier;
  readonly restart: () => Promise<void>;
  /** Called right after the process was spawned. */
  readonly onStart: (child: Child) => void;
}

/** Starts a Node.js process and keeps its output; each line and the exit wake waiting steps. */
export function startChild(options: ChildOptions): Child {
  const { availabilityZone, notifier, name, restart } = options;
  const child = spawn(process.execPath, [...options.args], { stdio: ['ignore', 'pipe', 'pipe'] });
  const lines: string[] = [];
  let exit: string | null = null;
  const record = (line: string): void => {
    lines.push(line);
    notifier.record();
  };
  createInterface({ input: child.stdout }).on('line', record);
  createInterface({ input: child.stderr }).on('line', record);
  child.on('exit', (code, signal) => {
    exit = signal ?? String(code);
    notifier.record();
  });
  const started: Child = {
    name,
    availabilityZone,
    process: child,
    lines,
    readExitStatus: () => exit,
    restart,
  };
  options.onStart(started);
  return started;
}
