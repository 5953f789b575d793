import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { stringify } from 'smol-toml';
import type { EntrySettings } from '../../../src/programs/entry/types';
import type { EmbeddedEntry } from '../types';

/** An entry as a separate process. */
export interface EntryProcess extends EmbeddedEntry {
  /** Kills the process, as the loss of its VM does. */
  kill(): Promise<void>;
}

const ENTRY_MAIN = 'src/programs/entry/main.ts';

const renderPlatformPart = ({ table, objects }: EntrySettings) => ({
  table: {
    endpoint: table.endpoint,
    name: table.tableName,
    region: table.region,
    access_key_id: table.accessKeyId,
    secret_access_key: table.secretAccessKey,
  },
  objects: {
    endpoint: objects.endpoint,
    bucket: objects.bucket,
    region: objects.region,
    access_key_id: objects.accessKeyId,
    secret_access_key: objects.secretAccessKey,
  },
});

const renderSettings = (settings: EntrySettings): string =>
  stringify({
    vm: {
      name: settings.vm.name,
      region: settings.vm.region,
      availability_zone: settings.vm.availabilityZone,
    },
    callers: settings.callers,
    peers: settings.peers,
    ...renderPlatformPart(settings),
    vm_list: settings.vmList,
    cursors: { keys: settings.cursorKeys },
  });

interface StartLine {
  readonly message?: string;
  readonly context?: { readonly callers?: string; readonly peerAddress?: string };
}

function parseStartLine(line: string): StartLine | null {
  try {
    const parsed = JSON.parse(line) as StartLine;
    return parsed.message === 'entry started' ? parsed : null;
  } catch {
    return null;
  }
}

/**
 * Starts the binary of an entry as a process and waits until it listens.
 *
 * @throws Error with the end of its standard error if the process exits before it listens
 */
export async function startEntryProcess(settings: EntrySettings): Promise<EntryProcess> {
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-entry-'));
  const file = join(folder, 'entry.toml');
  await writeFile(file, renderSettings(settings));
  const child = spawn(process.execPath, ['--import=tsx', ENTRY_MAIN, '--settings', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let errors = '';
  child.stderr.on('data', (chunk: Buffer) => {
    errors = `${errors}${chunk.toString()}`.slice(-2000);
  });
  const exited = once(child, 'exit');
  // Keeps reading after the start line: an unread pipe would fill up and block the process.
  const started = new Promise<StartLine>((resolve) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      const parsed = parseStartLine(line);
      if (parsed !== null) resolve(parsed);
    });
  });
  const first = await Promise.race([started, exited.then(() => null)]);
  await rm(folder, { recursive: true });
  if (first === null) throw new Error(`${settings.vm.name} exited during startup: ${errors}`);
  const end = async (signal: NodeJS.Signals) => {
    child.kill(signal);
    await exited;
  };
  return {
    vm: settings.vm.name,
    availabilityZone: settings.vm.availabilityZone,
    url: first.context?.callers ?? '',
    peerAddress: first.context?.peerAddress ?? '',
    kill: () => end('SIGKILL'),
    stop: () => end('SIGKILL'),
  };
}
