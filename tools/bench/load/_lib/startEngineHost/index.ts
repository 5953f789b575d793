import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { StandInEngineOptions } from '../../../../../standins/engine';

const HOST_PATH = fileURLToPath(new URL('../../engineHost/main.ts', import.meta.url));

/** Stand-in engines in a separate process. */
export interface EngineHost {
  /** Base URLs by engine name. */
  readonly urls: ReadonlyMap<string, string>;
  stop(): Promise<void>;
}

/** Starts stand-in engines in a separate process, so that they don't share the VMs' event loop. */
export async function startEngineHost(
  options: readonly StandInEngineOptions[],
): Promise<EngineHost> {
  const host = spawn(process.execPath, ['--import=tsx', HOST_PATH, JSON.stringify(options)], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const exited = new Promise<void>((resolve) => {
    host.once('exit', () => resolve());
  });
  const lines = createInterface({ input: host.stdout });
  const line = await new Promise<string>((resolve) => {
    lines.once('line', resolve);
  });
  const engines = JSON.parse(line) as readonly { readonly name: string; readonly url: string }[];
  return {
    urls: new Map(engines.map(({ name, url }) => [name, url])),
    stop: () => {
      host.stdin.end();
      return exited;
    },
  };
}
