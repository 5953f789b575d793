import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { drawLoopbackHost } from '../../../../standins/_lib/drawLoopbackHost';

/** What a pouring server sends without end. */
export const POURED_FORMS = [
  'informational heads',
  'head',
  'head line',
  'chunk extension',
  'body without a line end',
  'comments',
  'empty lines',
  'event without an end',
  'comments after an event',
  'trailers',
] as const;

/** A server whose answers never end, in a process of its own. */
export interface PouringServer {
  /** IP:PORT. */
  readonly address: string;
  /** Paths of the requests on which it pours, in order. */
  listPaths(): readonly string[];
  /** Bytes written to each connection that was closed since. */
  listPouredBytes(): readonly number[];
  stop(): Promise<void>;
}

const PROGRAM = fileURLToPath(new URL('./pouringServer.mjs', import.meta.url));

/** Starts a pouring server; `poursAll`: also on questions about its state. */
export const startPouringServer = async (
  form: (typeof POURED_FORMS)[number],
  speed: 'fast' | 'slow',
  { poursAll = false } = {},
): Promise<PouringServer> => {
  const host = drawLoopbackHost();
  const child = spawn(process.execPath, [PROGRAM, host, form, speed, poursAll ? 'all' : ''], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const killChild = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', killChild);
  const lines = createInterface({ input: child.stdout });
  const [port] = (await once(lines, 'line')) as [string];
  const paths: string[] = [];
  const poured: number[] = [];
  lines.on('line', (text) => {
    const [kind, path = '', bytes] = text.split(' ');
    if (kind === 'sent') paths.push(path);
    else poured.push(Number(bytes));
  });
  return {
    address: `${host}:${port}`,
    listPaths: () => paths,
    listPouredBytes: () => poured,
    stop: async () => {
      process.off('exit', killChild);
      killChild();
      await once(child, 'exit');
    },
  };
};
