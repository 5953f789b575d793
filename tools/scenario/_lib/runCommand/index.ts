import { spawn } from 'node:child_process';

/** Outcome of a command. */
export interface CommandOutcome {
  readonly code: number;
  /** Standard output and standard error, in order of arrival. */
  readonly output: string;
}

const CODE_WHEN_KILLED = 255;

/** Runs a Node.js program and waits until it exits. */
export function runCommand(args: readonly string[]): Promise<CommandOutcome> {
  const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  const chunks: string[] = [];
  const keep = (chunk: Buffer): void => {
    chunks.push(chunk.toString('utf8'));
  };
  child.stdout.on('data', keep);
  child.stderr.on('data', keep);
  return new Promise((resolve) => {
    child.on('close', (code) =>
      resolve({ code: code ?? CODE_WHEN_KILLED, output: chunks.join('') }),
    );
  });
}
